package modelserver

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// make4 is an engine whose figures are easy to reckon with: 10 ms a step, 1 ms a token made,
// 10 prompt tokens a ms.
func make4() EngineConfig {
	return EngineConfig{Slots: 4, Queue: 2, StepMs: 10, SlotMs: 1, PrefillPerMs: 10, Chunk: 100, KVTokens: 1000, Stride: 2}
}

// drain plays an engine until it is idle.
func drain(e *Engine) (out []Output) {
	for at, busy := e.Next(); busy; at, busy = e.Next() {
		out = e.Advance(at, out)
	}
	return out
}

func of(out []Output, id uint64, k OutputKind) (at []Output) {
	for _, o := range out {
		if o.Job == id && o.Kind == k {
			at = append(at, o)
		}
	}
	return at
}

func job(id uint64, out int, parts ...Part) Job {
	return Job{ID: id, Model: "m", Parts: parts, Out: out, Priority: 5}
}

func TestStepTakesWhatItHolds(t *testing.T) {
	e := NewEngine(make4())
	require.True(t, e.Submit(0, job(1, 3, Part{"a", 50})))
	out := drain(e)
	// The first step reads 50 tokens (5 ms) and makes one; two more make one each.
	require.Len(t, of(out, 1, Ran), 1)
	assert.Equal(t, 16*time.Millisecond, of(out, 1, Ran)[0].At)
	pieces := of(out, 1, Piece)
	require.Len(t, pieces, 2)
	assert.Equal(t, Output{Job: 1, Kind: Piece, N: 1, At: 27 * time.Millisecond}, pieces[0])
	assert.Equal(t, Output{Job: 1, Kind: Piece, N: 2, Last: true, At: 38 * time.Millisecond}, pieces[1])
}

func TestFasterServerTakesLess(t *testing.T) {
	cfg := make4()
	cfg.Speed = 2
	e := NewEngine(cfg)
	require.True(t, e.Submit(0, job(1, 1, Part{"a", 50})))
	assert.Equal(t, 8*time.Millisecond, of(drain(e), 1, Ran)[0].At)
}

func TestPromptIsReadBetweenTheTokensOfOthers(t *testing.T) {
	e := NewEngine(make4())
	require.True(t, e.Submit(0, job(1, 20, Part{"a", 10})))
	require.True(t, e.Submit(0, job(2, 1, Part{"b", 350})))
	out := drain(e)
	// Job 2 is read in four chunks of at most 100 tokens: job 1 makes tokens meanwhile.
	assert.Less(t, of(out, 1, Piece)[0].At, of(out, 2, Ran)[0].At)
	assert.Equal(t, 360, e.Load().Read)
	// A step that reads a whole chunk holds up the tokens beside it.
	first, second := of(out, 1, Piece)[0].At, of(out, 1, Piece)[1].At
	assert.Equal(t, 2*(10+1+10)*time.Millisecond, second-first)
}

func TestKeptPartsAreNotReadAgain(t *testing.T) {
	e := NewEngine(make4())
	require.True(t, e.Submit(0, job(1, 1, Part{"a", 90}, Part{"b", 90})))
	drain(e)
	require.True(t, e.Submit(time.Second, job(2, 1, Part{"a", 90}, Part{"c", 10})))
	drain(e)
	assert.Equal(t, 190, e.Load().Read)
	assert.Equal(t, 90, e.Load().Saved)
	// Behind another part, or for another model, it is not the same.
	require.True(t, e.Submit(2*time.Second, job(3, 1, Part{"b", 90})))
	other := job(4, 1, Part{"a", 90})
	other.Model = "n"
	require.True(t, e.Submit(2*time.Second, other))
	drain(e)
	assert.Equal(t, 370, e.Load().Read)
	assert.Equal(t, 0, e.Load().KVUsed)
	assert.Equal(t, 370, e.Load().KVKept)
}

func TestLongestUnusedPartsGiveWay(t *testing.T) {
	e := NewEngine(make4())
	for i, id := range []string{"a", "b", "c"} {
		require.True(t, e.Submit(time.Duration(i)*time.Second, job(uint64(i+1), 1, Part{id, 300})))
		drain(e)
	}
	require.True(t, e.Submit(4*time.Second, job(4, 1, Part{"a", 300}))) // used again: b is the oldest
	require.True(t, e.Submit(5*time.Second, job(5, 1, Part{"d", 300})))
	drain(e)
	read := e.Load().Read
	require.True(t, e.Submit(6*time.Second, job(6, 1, Part{"a", 300})))
	require.True(t, e.Submit(7*time.Second, job(7, 1, Part{"c", 300})))
	drain(e)
	assert.Equal(t, read, e.Load().Read, "a and c are kept")
	require.True(t, e.Submit(8*time.Second, job(8, 1, Part{"b", 300})))
	drain(e)
	assert.Equal(t, read+300, e.Load().Read, "b gave way")
}

func TestFullEngineTurnsAway(t *testing.T) {
	e := NewEngine(make4())
	assert.False(t, e.Submit(0, job(1, 10, Part{"big", 991})), "more than the memory")
	for id := range uint64(6) {
		require.True(t, e.Submit(0, job(id, 4, Part{"a", 10})))
	}
	assert.False(t, e.Submit(0, job(9, 4, Part{"a", 10})), "four places and two that wait")
	assert.Equal(t, 2, e.Load().Waiting+e.Load().Running-4)
	there, ran := e.Cancel(5)
	assert.True(t, there)
	assert.False(t, ran)
	assert.True(t, e.Submit(0, job(9, 4, Part{"a", 10})))
	out := drain(e)
	assert.Empty(t, of(out, 5, Ran))
	assert.Len(t, of(out, 9, Piece), 2)
}

func TestUrgentGoesFirstAndPreempts(t *testing.T) {
	e := NewEngine(make4())
	for id := uint64(1); id <= 4; id++ {
		require.True(t, e.Submit(0, job(id, 10, Part{fmt.Sprint(id), 10})))
	}
	urgent := job(9, 2, Part{"u", 10})
	urgent.Priority = 0
	out := e.Advance(60*time.Millisecond, nil)
	require.Len(t, of(out, 4, Ran), 1)
	require.True(t, e.Submit(61*time.Millisecond, urgent))
	out = append(out, drain(e)...)
	assert.Equal(t, 1, e.Load().Preempted)
	assert.Less(t, of(out, 9, Piece)[0].At, of(out, 1, Piece)[4].At)
	// The newest of the others had to go, and went on where it was: nothing twice, one start.
	assert.Len(t, of(out, 4, Ran), 1)
	pieces := of(out, 4, Piece)
	require.Len(t, pieces, 5)
	for i, p := range pieces {
		assert.Equal(t, i+1, p.N)
	}
	assert.Greater(t, pieces[4].At, of(out, 3, Piece)[4].At)
}

func TestMemoryRunsOutAndTheNewestGivesWay(t *testing.T) {
	cfg := make4()
	cfg.KVTokens = 100
	e := NewEngine(cfg)
	require.True(t, e.Submit(0, job(1, 50, Part{"a", 40})))
	require.True(t, e.Submit(0, job(2, 50, Part{"b", 40})))
	out := drain(e)
	assert.Positive(t, e.Load().Preempted)
	assert.Len(t, of(out, 1, Piece), 25)
	assert.Len(t, of(out, 2, Piece), 25)
	assert.Less(t, of(out, 1, Piece)[24].At, of(out, 2, Piece)[24].At)
	assert.Greater(t, e.Load().Read, 80, "it was read anew")
}

func TestDeadlineBeforeAndAfterTheStart(t *testing.T) {
	cfg := make4()
	cfg.Slots = 1
	e := NewEngine(cfg)
	a, b := job(1, 100, Part{"a", 10}), job(2, 1, Part{"b", 10})
	a.Deadline, b.Deadline = 100*time.Millisecond, 50*time.Millisecond
	require.True(t, e.Submit(0, a))
	require.True(t, e.Submit(0, b))
	out := drain(e)
	require.Len(t, of(out, 1, Expired), 1)
	assert.True(t, of(out, 1, Expired)[0].Ran)
	require.Len(t, of(out, 2, Expired), 1)
	assert.False(t, of(out, 2, Expired)[0].Ran)
}

func TestStreamIsTakenUp(t *testing.T) {
	e := NewEngine(make4())
	j := job(1, 10, Part{"a", 10})
	j.Made = 4
	require.True(t, e.Submit(0, j))
	pieces := of(drain(e), 1, Piece)
	require.Len(t, pieces, 3)
	assert.Equal(t, 3, pieces[0].N)
	assert.True(t, pieces[2].Last)
	assert.Equal(t, 14, e.Load().Read, "what had been put out is read, too")
}

// Whatever comes and goes, the memory's books are right, no part stands behind one that is
// gone, every job that stays ends, and each of its pieces comes once and in order.
func TestBooksAreRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := EngineConfig{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: 3, StepMs: 5, SlotMs: 1, PrefillPerMs: 5,
			Chunk: rapid.IntRange(1, 40).Draw(t, "chunk"), KVTokens: rapid.IntRange(60, 200).Draw(t, "kv"), Stride: 3}
		e := NewEngine(cfg)
		now, pieces, ended, taken := time.Duration(0), map[uint64]int{}, map[uint64]bool{}, map[uint64]Job{}
		look := func(out []Output) {
			for _, o := range out {
				switch o.Kind {
				case Piece:
					if pieces[o.Job]++; pieces[o.Job] != o.N {
						t.Fatalf("job %d: piece %d is number %d", o.Job, pieces[o.Job], o.N)
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
						if up := key[:i]; up != "m" && e.nodes[up] == nil {
							t.Fatalf("%s stands behind a part that is gone", key)
						}
						break
					}
				}
			}
			for _, s := range e.batch {
				sum += s.made
				if s.makes {
					sum++
				}
			}
			if sum != e.used || e.used > cfg.KVTokens {
				t.Fatalf("%d tokens held, %d counted, of %d", sum, e.used, cfg.KVTokens)
			}
			if len(e.batch) > cfg.Slots || len(e.jobs) > cfg.Slots+cfg.Queue {
				t.Fatalf("%d run, %d in all", len(e.batch), len(e.jobs))
			}
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "jobs")) {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * time.Millisecond
			look(e.Advance(now, nil))
			j := Job{ID: id, Model: "m", Out: rapid.IntRange(1, 30).Draw(t, "out"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
			for range rapid.IntRange(1, 3).Draw(t, "parts") {
				j.Parts = append(j.Parts, Part{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part"), Tokens: 15})
			}
			if rapid.IntRange(0, 5).Draw(t, "dies") == 0 {
				j.Deadline = now + 50*time.Millisecond
			}
			if e.Submit(now, j) {
				taken[id] = j
			}
			if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
				gone := uint64(rapid.IntRange(0, int(id)).Draw(t, "who"))
				if there, _ := e.Cancel(gone); there {
					ended[gone] = true
				}
			}
			look(nil)
		}
		for at, busy := e.Next(); busy; at, busy = e.Next() {
			look(e.Advance(at, nil))
		}
		for id := range taken {
			if !ended[id] {
				t.Fatalf("job %d never ended", id)
			}
		}
	})
}
