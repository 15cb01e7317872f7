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

type newest int
type oldest int
type state struct{ of, n int }

func (newest) WhenFull() Full { return DropNewest }
func (oldest) WhenFull() Full { return DropOldest }
func (state) WhenFull() Full  { return DropOldest }
func (s state) Merge(q Message) (Message, bool) {
	o, ok := q.(state)
	return s, ok && o.of == s.of
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

func TestAFullMailbox(t *testing.T) {
	for _, c := range []struct {
		name    string
		put     []Message
		want    []Message
		dropped uint64
	}{
		{"has room", []Message{newest(1), oldest(2)}, []Message{newest(1), oldest(2)}, 0},
		{"drops the newest", []Message{newest(1), newest(2), newest(3)}, []Message{newest(1), newest(2)}, 1},
		{"drops the oldest", []Message{oldest(1), oldest(2), oldest(3)}, []Message{oldest(2), oldest(3)}, 1},
		{"merges where it stands", []Message{state{1, 1}, newest(5), state{1, 2}}, []Message{state{1, 2}, newest(5)}, 0},
		{"merges only what goes together", []Message{state{1, 1}, state{2, 1}, state{3, 1}}, []Message{state{2, 1}, state{3, 1}}, 1},
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

// One who takes gets all that many put, each sender's in order.
func TestNothingIsLostOrTurnedAround(t *testing.T) {
	m := NewMailbox(4000)
	var all sync.WaitGroup
	for s := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range 1000 {
				m.Put(newest(s<<16 | n))
			}
		}()
	}
	last := [4]int{-1, -1, -1, -1}
	for range 4000 {
		msg, err := m.Take(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		s, n := int(msg.(newest))>>16, int(msg.(newest))&0xffff
		if n != last[s]+1 {
			t.Fatalf("sender %d: %d after %d", s, n, last[s])
		}
		last[s] = n
	}
	all.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := m.Take(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("%v from an empty mailbox whose taker ends", err)
	}
}

// A task that dies, by an error, a panic or a return, is started again after pauses that grow
// to a bound, and start anew once it has lived for a while.
func TestDeathsAndPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var born, died []time.Time
		lives := 0
		s := NewSupervisor(t.Context(), func(string, error) { died = append(died, time.Now()) })
		s.Go("frail", func(ctx context.Context) error {
			born = append(born, time.Now())
			switch lives++; {
			case lives == 1:
				return errors.New("no")
			case lives == 2:
				panic("no")
			case lives == 14: // a long one
				time.Sleep(2 * soundFor)
			case lives == 16:
				<-ctx.Done()
			}
			return nil
		})
		time.Sleep(time.Hour)
		s.Close()
		if len(born) != 16 || len(died) != 15 {
			t.Fatalf("%d lives, %d deaths", len(born), len(died))
		}
		for i, d := range died {
			want := min(firstPause<<i, mostPause)
			if i >= 13 {
				want = firstPause << (i - 13)
			}
			if got := born[i+1].Sub(d); got != want {
				t.Errorf("pause %d: %v, want %v", i, got, want)
			}
		}
	})
}

func TestCloseWaitsForTheTasks(t *testing.T) {
	s := NewSupervisor(t.Context(), nil)
	ended := false
	s.Go("orderly", func(ctx context.Context) error {
		<-ctx.Done()
		ended = true
		return nil
	})
	s.Close()
	if !ended {
		t.Error("Close returned before the task had ended")
	}
}
