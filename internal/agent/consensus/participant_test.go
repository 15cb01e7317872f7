package consensus

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// patience bounds waits; none needs more than a part of it.
const patience = time.Minute

// cluster is a council in this process, on real sockets and files.
type cluster struct {
	t      *testing.T
	cfgs   []Config
	voters []*seat
	seq    uint64
}

// seat is a voter that runs, or not.
type seat struct {
	c    *Participant
	stop func()
	err  chan error
	mu   sync.Mutex
	last Decision
	vows int
}

func newCluster(t *testing.T) *cluster {
	b := &cluster{t: t}
	var all []Voter
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Voter{fmt.Sprint("v", i), ln.Addr().String()})
		ln.Close()
	}
	cfg := zonefailover.Defaults()
	cfg.EjectionTime, cfg.SlowStartStep = 100*time.Millisecond, 50*time.Millisecond
	for _, v := range all {
		b.cfgs = append(b.cfgs, Config{Self: v.Name, Voters: all, Bind: v.Addr, Dir: filepath.Join(t.TempDir(), v.Name), Zones: cfg, Heartbeat: 400 * time.Millisecond})
	}
	b.voters = make([]*seat, 3)
	for i := range b.cfgs {
		b.start(i)
	}
	t.Cleanup(func() {
		for i := range b.voters {
			b.stop(i)
		}
	})
	return b
}

func (b *cluster) start(i int) {
	if err := b.cfgs[i].Validate(); err != nil {
		b.t.Fatal(err)
	}
	s := &seat{err: make(chan error, 1)}
	s.c = New(b.cfgs[i], func(d Decision) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.last = d
		if d.Confirmed {
			s.vows++
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { s.err <- s.c.Run(ctx) }()
	b.voters[i] = s
}

func (b *cluster) stop(i int) {
	if s := b.voters[i]; s != nil {
		s.stop()
		if err := <-s.err; err != nil {
			b.t.Errorf("voter %d: %v", i, err)
		}
		b.voters[i] = nil
	}
}

// until reports what agents see, again and again, until something holds.
func (b *cluster) until(what string, bad bool, done func() bool) {
	b.t.Helper()
	for end := time.Now().Add(patience); !done(); {
		if time.Now().After(end) {
			b.t.Fatalf("not %s", what)
		}
		b.seq++
		for _, s := range b.voters {
			for _, site := range []string{"a", "b", "c"} {
				r := zonefailover.Report{Version: zonefailover.Version, Agent: "agent-" + site, Site: site, Incarnation: 1, Seq: b.seq,
					Zones: []zonefailover.ZoneReport{{Zone: "a", Weight: 1, Observed: 4}, {Zone: "b", Weight: 1, Observed: 4}, {Zone: "c", Weight: 1, Observed: 4}}}
				if bad {
					r.Zones[1].Unhealthy = 4
				}
				if s != nil {
					s.c.Mailbox().Put(Report{r})
				}
			}
		}
		<-time.After(20 * time.Millisecond) // the next report, not a wait for something
	}
}

// share tells whether all that run have a share for a zone.
func (b *cluster) share(zone string, want float64) func() bool {
	return func() bool {
		for _, s := range b.voters {
			if s == nil {
				continue
			}
			s.mu.Lock()
			got := s.last.Table.Share("a", zone)
			s.mu.Unlock()
			if got != want {
				return false
			}
		}
		return true
	}
}

// sameTable reports whether all running voters have the same table, and one that was decided.
func (b *cluster) sameTable() bool {
	numbers := map[uint64]bool{}
	for _, s := range b.voters {
		if s == nil {
			continue
		}
		s.mu.Lock()
		numbers[s.last.Table.Number] = true
		s.mu.Unlock()
	}
	return len(numbers) == 1 && !numbers[0]
}

// leader is the voter that vouches; -1 if none has since the last call.
func (b *cluster) leader() int {
	for i, s := range b.voters {
		if s == nil {
			continue
		}
		s.mu.Lock()
		n := s.vows
		s.vows = 0
		s.mu.Unlock()
		if n > 0 {
			return i
		}
	}
	return -1
}

// Three voters agree that a zone is left; the next leader goes on when theirs is gone, and
// brings it back; without a majority nothing changes; one that comes back has all of it.
func TestThreeVotersAgree(t *testing.T) {
	b := newCluster(t)
	b.until("left", true, b.share("b", 0))
	lead := -1
	b.until("led", true, func() bool { lead = b.leader(); return lead >= 0 })
	b.stop(lead)
	b.until("returned under another leader", false, b.share("b", 1))
	next := -1
	b.until("led", false, func() bool { next = b.leader(); return next >= 0 })
	if next == lead {
		t.Errorf("%d leads and is gone", lead)
	}
	b.start(lead)
	// Before it has caught up it has no table, in which every share is 1.
	b.until("caught up", false, b.sameTable)
	b.until("returned at the restarted voter", false, b.share("b", 1))
	b.stop((lead + 1) % 3)
	b.stop((lead + 2) % 3)
	// The last one by itself: its leader's lease, if it had one, is over once it vouches no more.
	b.leader()
	for range 100 {
		b.until("another look", true, func() bool { return b.seq%3 == 0 })
		b.seq++
	}
	if !b.share("b", 1)() {
		t.Error("decided without a majority")
	}
	b.start((lead + 1) % 3)
	b.until("left again by two of three", true, b.share("b", 0))
}

// A voter whose log is gone has forgotten whom it voted for, and one in another's folder is
// another: both refuse, and say why.
func TestVoterWithoutItsLogDoesNotVote(t *testing.T) {
	b := newCluster(t)
	b.until("led", false, func() bool { return b.leader() >= 0 })
	b.stop(0)
	if err := os.Remove(filepath.Join(b.cfgs[0].Dir, logFile)); err != nil {
		t.Fatal(err)
	}
	if err := New(b.cfgs[0], nil).Run(t.Context()); err == nil || !strings.Contains(err.Error(), "its log is missing") {
		t.Errorf("%v", err)
	}
	b.stop(1)
	other := b.cfgs[1]
	other.Self = "v2"
	if err := New(other, nil).Run(t.Context()); err == nil || !strings.Contains(err.Error(), `it belongs to voter "v1"`) {
		t.Errorf("%v", err)
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	good := Config{Self: "a", Voters: []Voter{{"a", "127.0.0.1:1"}, {"b", "127.0.0.1:2"}, {"c", "127.0.0.1:3"}}, Bind: "127.0.0.1:1",
		Dir: "x", Zones: zonefailover.Defaults(), Heartbeat: time.Second}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for key, change := range map[string]func(*Config){"voters": func(c *Config) { c.Voters = c.Voters[:2] }, "voters: c": func(c *Config) { c.Voters = []Voter{c.Voters[0], c.Voters[2], c.Voters[2]} },
		"dir": func(c *Config) { c.Dir = "" }, "bind": func(c *Config) { c.Bind = "" }, "heartbeat": func(c *Config) { c.Heartbeat = 0 }, "most": func(c *Config) { c.Zones.MaxEjectedFraction = 0 }} {
		c := good
		change(&c)
		if err := c.Validate(); err == nil || !strings.HasPrefix(err.Error(), key) {
			t.Errorf("%v, want one that names %s", err, key)
		}
	}
	for _, text := range []string{"", "a", "a=b", "=127.0.0.1:1", "a=127.0.0.1:0", "a=x:1"} {
		if _, err := ParseVoter(text); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
	if v, err := ParseVoter("a=127.0.0.1:7"); err != nil || v != (Voter{"a", "127.0.0.1:7"}) {
		t.Errorf("%v, %v", v, err)
	}
}
