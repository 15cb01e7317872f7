package controlplane

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

const (
	// historyLength is how long the operators send requests.
	historyLength = 6 * time.Second
	// operatorTimeout is how long an operator waits for an answer.
	operatorTimeout = 700 * time.Millisecond
	// maxResubmissions is how many times an operator repeats an update at most.
	maxResubmissions = 3
	operatorCount    = 4
	// lostAnswerInterval is the interval, in updates, at which an operator ignores the first answer to an
	// update as if it had been lost.
	lostAnswerInterval = 8
)

// registerInput is an operator's request to the register: a read, or a compare-and-set by revision.
type registerInput struct {
	read              bool
	ifMatch, revision int64
}

// registerOutput is the answer to an operator. The outcome of an answered read is OutcomeCommitted.
type registerOutput struct {
	outcome  chain.Outcome
	revision int64
}

// registerModel models the register as operators see it. Its state is the revision.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} }, // the revision of the cluster's first update
	Step: func(state, input, output any) []any {
		current, in, out := state.(int64), input.(registerInput), output.(registerOutput)
		switch {
		case in.read && out.outcome != chain.OutcomeUnknown && out.revision != current:
			return nil
		case in.read:
			return []any{current}
		case out.outcome == chain.OutcomeCommitted && in.ifMatch == current:
			return []any{in.revision}
		case out.outcome == chain.OutcomeConflict && in.ifMatch != current:
			return []any{current}
		case out.outcome == chain.OutcomeUnknown && in.ifMatch == current:
			return []any{current, in.revision}
		case out.outcome == chain.OutcomeUnknown:
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history records the requests of all operators and their answers.
type history struct {
	tb        testing.TB
	startedAt time.Time

	repeatedAfterAnswer  atomic.Int64 // repeated updates whose outcome was known
	repeatedAfterUnknown atomic.Int64 // repeated updates whose outcome was unknown

	mu         sync.Mutex
	members    []*Member // the current members of the nodes
	operations []porcupine.Operation
}

// member returns the member of the node with index i modulo the number of nodes.
func (h *history) member(i int) *Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members[i%len(h.members)]
}

func (h *history) setMember(i int, member *Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members[i] = member
}

func (h *history) now() int64 { return int64(time.Since(h.startedAt)) }

// record adds an operation that started at the time called and returns now.
func (h *history) record(client int, called int64, input registerInput, output registerOutput) {
	returned := h.now()
	if output.outcome == chain.OutcomeUnknown {
		returned = math.MaxInt64 // it may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: called, Output: output, Return: returned,
	})
}

// committed counts the updates that were committed.
func (h *history) committed() int {
	count := 0
	for _, operation := range h.operations {
		if operation.Output.(registerOutput).outcome == chain.OutcomeCommitted && !operation.Input.(registerInput).read {
			count++
		}
	}
	return count
}

// operator sends reads and updates to all nodes in turn.
type operator struct {
	*history
	index    int
	revision int64 // newest revision that the operator knows
	updates  int64 // number of updates that the operator has sent
}

func (o *operator) run(ctx context.Context) {
	for i := o.index; ctx.Err() == nil; i++ {
		if i%3 == 0 {
			o.read(i)
		} else {
			o.update(i)
		}
	}
}

func (o *operator) read(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	called := o.now()
	value, err := o.member(i).Read(ctx)
	if err != nil {
		return
	}
	o.revision = value.Revision
	o.record(o.index, called, registerInput{read: true}, registerOutput{chain.OutcomeCommitted, value.Revision})
}

func (o *operator) update(i int) {
	o.updates++
	input := registerInput{ifMatch: o.revision, revision: o.revision + o.updates*10 + int64(o.index) + 1}
	update := revisionUpdate(input.ifMatch, input.revision)
	called := o.now()
	first := o.submit(i, update)
	if o.updates%lostAnswerInterval == 0 {
		first = chain.Result{}
	}
	result := o.resubmit(i, update, first)
	if result.Outcome == chain.OutcomeCommitted || result.Outcome == chain.OutcomeConflict {
		o.revision = result.Revision
	}
	o.record(o.index, called, input, registerOutput{result.Outcome, result.Revision})
}

func (o *operator) submit(i int, update *chain.Update) chain.Result {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return o.member(i).Submit(ctx, update)
}

// resubmit repeats an update at other nodes while its outcome is unknown. At even i it repeats an update with
// a known outcome too, as if the answer had been lost. It returns the answer that the operator acts on.
func (o *operator) resubmit(i int, update *chain.Update, first chain.Result) chain.Result {
	result := first
	for attempt := 1; attempt <= maxResubmissions; attempt++ {
		if result.Outcome == chain.OutcomeUnknown {
			result = o.submit(i+attempt, update)
			o.repeatedAfterUnknown.Add(1)
			continue
		}
		if attempt > 1 || i%2 != 0 {
			break
		}
		repeated := o.submit(i+attempt, update)
		if repeated.Outcome == chain.OutcomeUnknown {
			continue
		}
		assert.Equal(o.tb, result.Outcome, repeated.Outcome, "a repeated update got a different outcome")
		if result.Outcome == chain.OutcomeCommitted { // a conflict reports the newest revision, which may change
			assert.Equal(o.tb, result.Revision, repeated.Revision)
		}
		o.repeatedAfterAnswer.Add(1)
	}
	return result
}

// injectFaults restarts the head, isolates it and stalls its disk, in turn. Isolation and stalls last until the
// head is replaced.
func (h *history) injectFaults(ctx context.Context, cluster *testCluster) {
	observer := cluster.nodes[len(cluster.nodes)-1]
	awaitReplacement := func(head *testNode) {
		pollUntil(ctx, func() bool {
			current, _ := observer.member.View()
			return current.Head().Addr != head.addr
		})
	}
	for i := 0; ctx.Err() == nil; i++ {
		head := cluster.chainMember(0)
		switch i % 3 {
		case 0:
			cluster.restart(head)
			h.setMember(slices.Index(cluster.nodes, head), head.member)
		case 1:
			cluster.setIsolated(head, true, true)
			awaitReplacement(head)
			cluster.setIsolated(head, false, true)
		case 2:
			head.disk.setStalled(true)
			awaitReplacement(head)
			head.disk.setStalled(false)
		}
		pollUntil(ctx, func() bool { return observer.chainLength() == 4 })
	}
}

// Operators send updates and reads to all nodes while the head is restarted, isolated or its disk stalls, and
// repeat updates at other nodes. The history must be linearizable as that of one register, in which an update
// and its repetitions are one operation.
func TestHistoryIsLinearizable(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapCluster(t, 4, 1)
	ctx, cancel := context.WithTimeout(context.Background(), historyLength)
	defer cancel()
	hist := &history{tb: t, startedAt: time.Now()}
	for _, node := range cluster.nodes {
		hist.members = append(hist.members, node.member)
	}
	var operators sync.WaitGroup
	for index := range operatorCount {
		o := &operator{history: hist, index: index, revision: 1}
		operators.Go(func() { o.run(ctx) })
	}
	hist.injectFaults(ctx, cluster)
	operators.Wait()
	require.Greater(t, hist.committed(), 10)
	t.Logf("%d operations, %d updates committed, %d repeated after a known outcome and %d after an unknown one",
		len(hist.operations), hist.committed(), hist.repeatedAfterAnswer.Load(), hist.repeatedAfterUnknown.Load())
	require.Positive(t, hist.repeatedAfterAnswer.Load())
	require.Positive(t, hist.repeatedAfterUnknown.Load())
	require.True(t, porcupine.CheckOperations(registerModel.ToModel(), hist.operations), "not linearizable")
}
