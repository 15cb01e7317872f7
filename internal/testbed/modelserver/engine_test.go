package modelserver

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testEngineConfig has round durations: 10 ms for each step, 1 ms for each token produced, 0.1 ms for each prompt token
// read.
func testEngineConfig() EngineConfig {
	return EngineConfig{Slots: 4, Queue: 2, StepMs: 10, SlotMs: 1, PrefillPerMs: 10, Chunk: 100, KVTokens: 1000, Stride: 2}
}

// runUntilIdle advances an engine until it is idle and returns its outputs.
func runUntilIdle(e *Engine) (out []Output) {
	for at, busy := e.StepEnd(); busy; at, busy = e.StepEnd() {
		out = e.Advance(at, out)
	}
	return out
}

// outputsOf returns the outputs of one job and kind.
func outputsOf(out []Output, id uint64, k OutputKind) (found []Output) {
	for _, o := range out {
		if o.Job == id && o.Kind == k {
			found = append(found, o)
		}
	}
	return found
}

func job(id uint64, out int, parts ...Part) Job {
	return Job{ID: id, Model: "m", Parts: parts, OutputTokens: out, Priority: 5}
}

func TestStepDuration(t *testing.T) {
	e := NewEngine(testEngineConfig())
	require.True(t, e.Submit(0, job(1, 3, Part{"a", 50})))
	out := runUntilIdle(e)
	// The first step reads 50 tokens (5 ms) and produces one; two more steps produce one each.
	require.Len(t, outputsOf(out, 1, FirstToken), 1)
	assert.Equal(t, 16*time.Millisecond, outputsOf(out, 1, FirstToken)[0].At)
	events := outputsOf(out, 1, StreamEvent)
	require.Len(t, events, 2)
	assert.Equal(t, Output{Job: 1, Kind: StreamEvent, N: 1, At: 27 * time.Millisecond}, events[0])
	assert.Equal(t, Output{Job: 1, Kind: StreamEvent, N: 2, Last: true, At: 38 * time.Millisecond}, events[1])
}

func TestSpeedShortensSteps(t *testing.T) {
	cfg := testEngineConfig()
	cfg.Speed = 2
	e := NewEngine(cfg)
	require.True(t, e.Submit(0, job(1, 1, Part{"a", 50})))
	assert.Equal(t, 8*time.Millisecond, outputsOf(runUntilIdle(e), 1, FirstToken)[0].At)
}

func TestPrefillIsInterleavedWithOtherJobs(t *testing.T) {
	e := NewEngine(testEngineConfig())
	require.True(t, e.Submit(0, job(1, 20, Part{"a", 10})))
	require.True(t, e.Submit(0, job(2, 1, Part{"b", 350})))
	out := runUntilIdle(e)
	// The prompt of job 2 is read in four chunks of at most 100 tokens; job 1 produces tokens in the same steps.
	assert.Less(t, outputsOf(out, 1, StreamEvent)[0].At, outputsOf(out, 2, FirstToken)[0].At)
	assert.Equal(t, 360, e.Load().TokensRead)
	// A step that reads a full chunk delays the tokens that other jobs produce in it.
	first, second := outputsOf(out, 1, StreamEvent)[0].At, outputsOf(out, 1, StreamEvent)[1].At
	assert.Equal(t, 2*(10+1+10)*time.Millisecond, second-first)
}

func TestCachedPartsAreNotReadAgain(t *testing.T) {
	e := NewEngine(testEngineConfig())
	require.True(t, e.Submit(0, job(1, 1, Part{"a", 90}, Part{"b", 90})))
	runUntilIdle(e)
	require.True(t, e.Submit(time.Second, job(2, 1, Part{"a", 90}, Part{"c", 10})))
	runUntilIdle(e)
	assert.Equal(t, 190, e.Load().TokensRead)
	assert.Equal(t, 90, e.Load().TokensSaved)
	// The same part after another one, or for another model, is not in the cache.
	require.True(t, e.Submit(2*time.Second, job(3, 1, Part{"b", 90})))
	other := job(4, 1, Part{"a", 90})
	other.Model = "n"
	require.True(t, e.Submit(2*time.Second, other))
	runUntilIdle(e)
	assert.Equal(t, 370, e.Load().TokensRead)
	assert.Equal(t, 0, e.Load().KVUsed)
	assert.Equal(t, 370, e.Load().KVCached)
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	e := NewEngine(testEngineConfig())
	for i, id := range []string{"a", "b", "c"} {
		require.True(t, e.Submit(time.Duration(i)*time.Second, job(uint64(i+1), 1, Part{id, 300})))
		runUntilIdle(e)
	}
	require.True(t, e.Submit(4*time.Second, job(4, 1, Part{"a", 300}))) // now b is the least recently used
	require.True(t, e.Submit(5*time.Second, job(5, 1, Part{"d", 300})))
	runUntilIdle(e)
	read := e.Load().TokensRead
	require.True(t, e.Submit(6*time.Second, job(6, 1, Part{"a", 300})))
	require.True(t, e.Submit(7*time.Second, job(7, 1, Part{"c", 300})))
	runUntilIdle(e)
	assert.Equal(t, read, e.Load().TokensRead, "a and c are still cached")
	require.True(t, e.Submit(8*time.Second, job(8, 1, Part{"b", 300})))
	runUntilIdle(e)
	assert.Equal(t, read+300, e.Load().TokensRead, "b was evicted")
}

func TestFullEngineRejectsJobs(t *testing.T) {
	e := NewEngine(testEngineConfig())
	assert.False(t, e.Submit(0, job(1, 10, Part{"big", 991})), "larger than the cache")
	for id := range uint64(6) {
		require.True(t, e.Submit(0, job(id, 4, Part{"a", 10})))
	}
	assert.False(t, e.Submit(0, job(9, 4, Part{"a", 10})), "four jobs run and two wait")
	assert.Equal(t, 2, e.Load().Waiting+e.Load().Running-4)
	found, executed := e.Cancel(5)
	assert.True(t, found)
	assert.False(t, executed)
	assert.True(t, e.Submit(0, job(9, 4, Part{"a", 10})))
	out := runUntilIdle(e)
	assert.Empty(t, outputsOf(out, 5, FirstToken))
	assert.Len(t, outputsOf(out, 9, StreamEvent), 2)
}

func TestUrgentJobPreempts(t *testing.T) {
	e := NewEngine(testEngineConfig())
	for id := uint64(1); id <= 4; id++ {
		require.True(t, e.Submit(0, job(id, 10, Part{fmt.Sprint(id), 10})))
	}
	urgent := job(9, 2, Part{"u", 10})
	urgent.Priority = 0
	out := e.Advance(60*time.Millisecond, nil)
	require.Len(t, outputsOf(out, 4, FirstToken), 1)
	require.True(t, e.Submit(61*time.Millisecond, urgent))
	out = append(out, runUntilIdle(e)...)
	assert.Equal(t, 1, e.Load().Preempted)
	assert.Less(t, outputsOf(out, 9, StreamEvent)[0].At, outputsOf(out, 1, StreamEvent)[4].At)
	// The newest of the other jobs was preempted. It continued where it had stopped: each event once, one first token.
	assert.Len(t, outputsOf(out, 4, FirstToken), 1)
	events := outputsOf(out, 4, StreamEvent)
	require.Len(t, events, 5)
	for i, p := range events {
		assert.Equal(t, i+1, p.N)
	}
	assert.Greater(t, events[4].At, outputsOf(out, 3, StreamEvent)[4].At)
}

func TestFullCachePreemptsTheNewestJob(t *testing.T) {
	cfg := testEngineConfig()
	cfg.KVTokens = 100
	e := NewEngine(cfg)
	require.True(t, e.Submit(0, job(1, 50, Part{"a", 40})))
	require.True(t, e.Submit(0, job(2, 50, Part{"b", 40})))
	out := runUntilIdle(e)
	assert.Positive(t, e.Load().Preempted)
	assert.Len(t, outputsOf(out, 1, StreamEvent), 25)
	assert.Len(t, outputsOf(out, 2, StreamEvent), 25)
	assert.Less(t, outputsOf(out, 1, StreamEvent)[24].At, outputsOf(out, 2, StreamEvent)[24].At)
	assert.Greater(t, e.Load().TokensRead, 80, "the preempted job is read again")
}

func TestDeadlineWhileWaitingAndWhileRunning(t *testing.T) {
	cfg := testEngineConfig()
	cfg.Slots = 1
	e := NewEngine(cfg)
	a, b := job(1, 100, Part{"a", 10}), job(2, 1, Part{"b", 10})
	a.Deadline, b.Deadline = 100*time.Millisecond, 50*time.Millisecond
	require.True(t, e.Submit(0, a))
	require.True(t, e.Submit(0, b))
	out := runUntilIdle(e)
	require.Len(t, outputsOf(out, 1, Expired), 1)
	assert.True(t, outputsOf(out, 1, Expired)[0].Executed)
	require.Len(t, outputsOf(out, 2, Expired), 1)
	assert.False(t, outputsOf(out, 2, Expired)[0].Executed)
}

func TestStreamIsResumed(t *testing.T) {
	e := NewEngine(testEngineConfig())
	j := job(1, 10, Part{"a", 10})
	j.PriorTokens = 4
	require.True(t, e.Submit(0, j))
	events := outputsOf(runUntilIdle(e), 1, StreamEvent)
	require.Len(t, events, 3)
	assert.Equal(t, 3, events[0].N)
	assert.True(t, events[2].Last)
	assert.Equal(t, 14, e.Load().TokensRead, "the output before the resumption is read, too")
}

// Whichever jobs are added, cancelled or expire, the cache accounting is consistent, no cached part follows a part that
// was evicted, every accepted job ends, and each of its events is produced once and in order.
func TestCacheAccountingIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := EngineConfig{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: 3, StepMs: 5, SlotMs: 1, PrefillPerMs: 5,
			Chunk: rapid.IntRange(1, 40).Draw(t, "chunk"), KVTokens: rapid.IntRange(60, 200).Draw(t, "kv"), Stride: 3}
		e := NewEngine(cfg)
		now, events, ended, accepted := time.Duration(0), map[uint64]int{}, map[uint64]bool{}, map[uint64]Job{}
		check := func(out []Output) {
			for _, o := range out {
				switch o.Kind {
				case StreamEvent:
					if events[o.Job]++; events[o.Job] != o.N {
						t.Fatalf("job %d: event %d has the number %d", o.Job, events[o.Job], o.N)
					}
					ended[o.Job] = o.Last
				case Expired:
					ended[o.Job] = true
				}
			}
			sum := 0
			for key, n := range e.nodes {
				sum += n.tokens
				if n.read > n.tokens || n.users < 0 || (n.users == 0) != (n.unused != nil) {
					t.Fatalf("part %s: %+v", key, n)
				}
				for i := len(key) - 1; i > 0; i-- {
					if key[i] == '/' {
						if prefix := key[:i]; prefix != "m" && e.nodes[prefix] == nil {
							t.Fatalf("%s is cached, but the part before it is not", key)
						}
						break
					}
				}
			}
			for _, s := range e.batch {
				sum += s.produced
				if s.producing {
					sum++
				}
			}
			if sum != e.usedTokens || e.usedTokens > cfg.KVTokens {
				t.Fatalf("cache holds %d tokens, accounted are %d, its size is %d", sum, e.usedTokens, cfg.KVTokens)
			}
			if len(e.batch) > cfg.Slots || len(e.jobs) > cfg.Slots+cfg.Queue {
				t.Fatalf("%d jobs run, %d exist", len(e.batch), len(e.jobs))
			}
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "jobs")) {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * time.Millisecond
			check(e.Advance(now, nil))
			j := Job{ID: id, Model: "m", OutputTokens: rapid.IntRange(1, 30).Draw(t, "out"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
			for range rapid.IntRange(1, 3).Draw(t, "parts") {
				j.Parts = append(j.Parts, Part{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part"), Tokens: 15})
			}
			if rapid.IntRange(0, 5).Draw(t, "deadline") == 0 {
				j.Deadline = now + 50*time.Millisecond
			}
			if e.Submit(now, j) {
				accepted[id] = j
			}
			if rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
				cancelled := uint64(rapid.IntRange(0, int(id)).Draw(t, "cancelled job"))
				if found, _ := e.Cancel(cancelled); found {
					ended[cancelled] = true
				}
			}
			check(nil)
		}
		for at, busy := e.StepEnd(); busy; at, busy = e.StepEnd() {
			check(e.Advance(at, nil))
		}
		for id := range accepted {
			if !ended[id] {
				t.Fatalf("job %d never ended", id)
			}
		}
	})
}
