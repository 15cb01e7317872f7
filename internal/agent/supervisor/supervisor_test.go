package supervisor

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

type dropNewest int
type dropOldest int
type state struct{ key, n int }

func (dropNewest) Overflow() OverflowPolicy { return DropNewest }
func (dropOldest) Overflow() OverflowPolicy { return DropOldest }
func (state) Overflow() OverflowPolicy      { return DropOldest }
func (s state) MergeInto(q Message) (Message, bool) {
	o, ok := q.(state)
	return s, ok && o.key == s.key
}

func drain(m *Mailbox) (out []Message) {
	for {
		msg, ok := m.Poll()
		if !ok {
			return out
		}
		out = append(out, msg)
	}
}

func TestMailboxOverflow(t *testing.T) {
	for _, c := range []struct {
		name    string
		put     []Message
		want    []Message
		dropped uint64
	}{
		{"a mailbox that is not full", []Message{dropNewest(1), dropOldest(2)},
			[]Message{dropNewest(1), dropOldest(2)}, 0},
		{"drops the newest", []Message{dropNewest(1), dropNewest(2), dropNewest(3)},
			[]Message{dropNewest(1), dropNewest(2)}, 1},
		{"drops the oldest", []Message{dropOldest(1), dropOldest(2), dropOldest(3)},
			[]Message{dropOldest(2), dropOldest(3)}, 1},
		{"merges at the queued position", []Message{state{1, 1}, dropNewest(5), state{1, 2}},
			[]Message{state{1, 2}, dropNewest(5)}, 0},
		{"merges only related messages", []Message{state{1, 1}, state{2, 1}, state{3, 1}},
			[]Message{state{2, 1}, state{3, 1}}, 1},
	} {
		m := NewMailbox(2)
		for _, msg := range c.put {
			m.Put(msg)
		}
		got := drain(m)
		if len(got) != len(c.want) || m.Dropped() != c.dropped {
			t.Errorf("%s: %v, %d dropped, want %v, %d", c.name, got, m.Dropped(), c.want, c.dropped)
			continue
		}
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
			}
		}
	}
}

// One receiver gets every message of several senders, and the messages of each sender in order.
func TestMessagesArriveOnceAndInOrder(t *testing.T) {
	m := NewMailbox(4000)
	var senders sync.WaitGroup
	for sender := range 4 {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for n := range 1000 {
				m.Put(dropNewest(sender<<16 | n))
			}
		}()
	}
	last := [4]int{-1, -1, -1, -1}
	for range 4000 {
		msg, err := m.Take(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		sender, n := int(msg.(dropNewest))>>16, int(msg.(dropNewest))&0xffff
		if n != last[sender]+1 {
			t.Fatalf("sender %d: %d after %d", sender, n, last[sender])
		}
		last[sender] = n
	}
	senders.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := m.Take(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Take with a cancelled context from an empty mailbox: %v", err)
	}
}

// A task that fails, by an error, a panic or an early return, is restarted after a backoff. The
// backoff doubles up to a bound, and starts over once the task has run for a while.
func TestFailedTaskIsRestartedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var starts, failures []time.Time
		runs := 0
		s := NewSupervisor(t.Context(), func(string, error) { failures = append(failures, time.Now()) })
		s.Go("failing", func(ctx context.Context) error {
			starts = append(starts, time.Now())
			switch runs++; {
			case runs == 1:
				return errors.New("no")
			case runs == 2:
				panic("no")
			case runs == 14: // a long run
				time.Sleep(2 * backoffResetAfter)
			case runs == 16:
				<-ctx.Done()
			}
			return nil
		})
		time.Sleep(time.Hour)
		s.Close()
		if len(starts) != 16 || len(failures) != 15 {
			t.Fatalf("%d starts, %d failures", len(starts), len(failures))
		}
		for i, d := range failures {
			want := min(initialBackoff<<i, maxBackoff)
			if i >= 13 {
				want = initialBackoff << (i - 13)
			}
			if got := starts[i+1].Sub(d); got != want {
				t.Errorf("backoff %d: %v, want %v", i, got, want)
			}
		}
	})
}

func TestCloseWaitsForTheTasks(t *testing.T) {
	s := NewSupervisor(t.Context(), nil)
	ended := false
	s.Go("ends with its context", func(ctx context.Context) error {
		<-ctx.Done()
		ended = true
		return nil
	})
	s.Close()
	if !ended {
		t.Error("Close returned before the task had ended")
	}
}
