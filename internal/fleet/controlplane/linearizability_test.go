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
	// historyLength is for how long operators send requests.
	historyLength = 6 * time.Second
	// operatorTimeout is for how long an operator waits for an answer.
	operatorTimeout = 700 * time.Millisecond
	// maxResubmissions is how often an operator repeats an update.
	maxResubmissions = 3
	operatorCount    = 4
	// lostAnswerInterval is how many updates of an operator have one whose first answer it loses.
	lostAnswerInterval = 8
)

// registerInput is what an operator requests of the register: a read, or a compare-and-set by revision.
type registerInput struct {
	read              bool
	ifMatch, revision int64
}

// registerOutput is what the operator gets; a read that was answered is OutcomeCommitted.
type registerOutput struct {
	outcome  chain.Outcome
	revision int64
}

// registerModel is the register as operators see it; its state is the revision.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} }, // that of the first update of the cluster
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

// history is the requests of all operators and their answers.
type history struct {
	tb    testing.TB
	begun time.Time

	repeatedClear   atomic.Int64 // updates that were repeated after a clear answer
	repeatedUnclear atomic.Int64 // updates that were repeated after none

	mu         sync.Mutex
	members    []*Member // of the nodes as they run now
	operations []porcupine.Operation
}

// member is the member of a node, counted round the cluster.
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

func (h *history) now() int64 { return int64(time.Since(h.begun)) }

// record adds an operation that was called at a time and has returned now.
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
	revision int64 // the newest that it knows
	updates  int64 // that it has sent
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

// resubmit repeats an update at other nodes while its outcome is unknown, and now and then once after
// a clear answer, as if that had been lost. It returns the answer that the operator goes by.
func (o *operator) resubmit(i int, update *chain.Update, first chain.Result) chain.Result {
	result := first
	for attempt := 1; attempt <= maxResubmissions; attempt++ {
		if result.Outcome == chain.OutcomeUnknown {
			result = o.submit(i+attempt, update)
			o.repeatedUnclear.Add(1)
			continue
		}
		if attempt > 1 || i%2 != 0 {
			break
		}
		repeated := o.submit(i+attempt, update)
		if repeated.Outcome == chain.OutcomeUnknown {
			continue
		}
		assert.Equal(o.tb, result.Outcome, repeated.Outcome, "a repeated update gets another answer")
		if result.Outcome == chain.OutcomeCommitted { // a conflict names the newest revision
			assert.Equal(o.tb, result.Revision, repeated.Revision)
		}
		o.repeatedClear.Add(1)
	}
	return result
}

// injectFaults has the head killed, isolated and its disk stalled in turn, each time until the others
// have replaced it.
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

// Operators send updates and reads to all nodes while the head is killed, isolated or its disk stalls,
// and repeat updates at other nodes. The whole history is that of one register, in which an update and
// its repetitions are one operation.
func TestHistoryIsLinearizable(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapped(t, 4, 1)
	ctx, cancel := context.WithTimeout(context.Background(), historyLength)
	defer cancel()
	recorded := &history{tb: t, begun: time.Now()}
	for _, node := range cluster.nodes {
		recorded.members = append(recorded.members, node.member)
	}
	var operators sync.WaitGroup
	for index := range operatorCount {
		o := &operator{history: recorded, index: index, revision: 1}
		operators.Go(func() { o.run(ctx) })
	}
	recorded.injectFaults(ctx, cluster)
	operators.Wait()
	require.Greater(t, recorded.committed(), 10)
	t.Logf("%d operations, %d updates committed, %d repeated after a clear answer and %d after none",
		len(recorded.operations), recorded.committed(), recorded.repeatedClear.Load(), recorded.repeatedUnclear.Load())
	require.Positive(t, recorded.repeatedClear.Load())
	require.Positive(t, recorded.repeatedUnclear.Load())
	require.True(t, porcupine.CheckOperations(registerModel.ToModel(), recorded.operations), "the history is not that of a register")
}
