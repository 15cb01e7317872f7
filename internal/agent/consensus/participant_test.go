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

// testTimeout bounds each wait. All are expected to end far sooner.
const testTimeout = time.Minute

// cluster is a consensus group in this process, with real sockets and files.
type cluster struct {
	t       *testing.T
	configs []Config
	voters  []*runningVoter // nil for a voter that is stopped
	seq     uint64          // sequence number of the last reports
}

// runningVoter is a voter that runs.
type runningVoter struct {
	participant   *Participant
	stop          func()
	err           chan error // receives the result of Run
	mu            sync.Mutex // guards the fields below
	last          Decision
	confirmations int // number of confirmed decisions since the last call of leader
}

// newCluster starts a cluster of three voters.
func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t}
	var all []Voter
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Voter{fmt.Sprint("v", i), ln.Addr().String()})
		ln.Close()
	}
	zones := zonefailover.Defaults()
	zones.EjectionTime, zones.SlowStartStep = 100*time.Millisecond, 50*time.Millisecond
	for _, v := range all {
		c.configs = append(c.configs, Config{Self: v.Name, Voters: all, Bind: v.Addr,
			Dir: filepath.Join(t.TempDir(), v.Name), Zones: zones, Heartbeat: 400 * time.Millisecond})
	}
	c.voters = make([]*runningVoter, 3)
	for i := range c.configs {
		c.start(i)
	}
	t.Cleanup(func() {
		for i := range c.voters {
			c.stop(i)
		}
	})
	return c
}

// start starts a voter.
func (c *cluster) start(i int) {
	if err := c.configs[i].Validate(); err != nil {
		c.t.Fatal(err)
	}
	v := &runningVoter{err: make(chan error, 1)}
	v.participant = New(c.configs[i], func(d Decision) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.last = d
		if d.Confirmed {
			v.confirmations++
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() { v.err <- v.participant.Run(ctx) }()
	c.voters[i] = v
}

// stop stops a voter if it runs.
func (c *cluster) stop(i int) {
	if v := c.voters[i]; v != nil {
		v.stop()
		if err := <-v.err; err != nil {
			c.t.Errorf("voter %d: %v", i, err)
		}
		c.voters[i] = nil
	}
}

// reportUntil sends reports of the agents of all sites to all running voters until done returns true. The reports
// show zone b unhealthy if unhealthy is true. The test fails with what if that takes longer than testTimeout.
func (c *cluster) reportUntil(what string, unhealthy bool, done func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); !done(); {
		if time.Now().After(end) {
			c.t.Fatalf("not reached: %s", what)
		}
		c.seq++
		for _, v := range c.voters {
			for _, site := range []string{"a", "b", "c"} {
				r := zonefailover.Report{Version: zonefailover.Version, Agent: "agent-" + site, Site: site,
					Incarnation: 1, Seq: c.seq, Zones: []zonefailover.ZoneReport{
						{Zone: "a", Weight: 1, Observed: 4},
						{Zone: "b", Weight: 1, Observed: 4},
						{Zone: "c", Weight: 1, Observed: 4}}}
				if unhealthy {
					r.Zones[1].Unhealthy = 4
				}
				if v != nil {
					v.participant.Mailbox().Put(Report{r})
				}
			}
		}
		<-time.After(20 * time.Millisecond) // the interval between reports
	}
}

// hasShare returns a condition: whether the newest table of each running voter gives the agents of site a the wanted
// share of a zone.
func (c *cluster) hasShare(zone string, want float64) func() bool {
	return func() bool {
		for _, v := range c.voters {
			if v == nil {
				continue
			}
			v.mu.Lock()
			got := v.last.Table.Share("a", zone)
			v.mu.Unlock()
			if got != want {
				return false
			}
		}
		return true
	}
}

// haveSameTable reports whether all running voters have the same decided table.
func (c *cluster) haveSameTable() bool {
	numbers := map[uint64]bool{}
	for _, v := range c.voters {
		if v == nil {
			continue
		}
		v.mu.Lock()
		numbers[v.last.Table.Number] = true
		v.mu.Unlock()
	}
	return len(numbers) == 1 && !numbers[0]
}

// leader returns the number of a voter that has published a confirmed decision since the last call, or -1 if there
// is none. Only a leader publishes confirmed decisions.
func (c *cluster) leader() int {
	for i, v := range c.voters {
		if v == nil {
			continue
		}
		v.mu.Lock()
		n := v.confirmations
		v.confirmations = 0
		v.mu.Unlock()
		if n > 0 {
			return i
		}
	}
	return -1
}

// Three voters agree to eject a zone. When their leader stops, the next leader returns the zone. A restarted voter
// catches up. Without a majority nothing is decided; with two of three voters decisions continue.
func TestThreeVotersAgree(t *testing.T) {
	c := newCluster(t)
	c.reportUntil("zone b is ejected", true, c.hasShare("b", 0))
	first := -1
	c.reportUntil("there is a leader", true, func() bool { first = c.leader(); return first >= 0 })
	c.stop(first)
	c.reportUntil("zone b has returned under another leader", false, c.hasShare("b", 1))
	next := -1
	c.reportUntil("there is a second leader", false, func() bool { next = c.leader(); return next >= 0 })
	if next == first {
		t.Errorf("voter %d leads although it is stopped", first)
	}
	c.start(first)
	// Until it has caught up, the restarted voter has an empty table, in which every share is 1.
	c.reportUntil("the restarted voter has caught up", false, c.haveSameTable)
	c.reportUntil("zone b has returned at the restarted voter", false, c.hasShare("b", 1))
	c.stop((first + 1) % 3)
	c.stop((first + 2) % 3)
	// One voter runs alone; if it was the leader, its lease expires. It receives reports that zone b is unhealthy.
	c.leader()
	for range 100 {
		c.reportUntil("reports were sent", true, func() bool { return c.seq%3 == 0 })
		c.seq++
	}
	if !c.hasShare("b", 1)() {
		t.Error("decided without a majority")
	}
	c.start((first + 1) % 3)
	c.reportUntil("zone b is ejected again by two of three voters", true, c.hasShare("b", 0))
}

// A voter whose log is missing does not know for whom it has voted. It does not start, and neither does a voter in the
// directory of another one; both return the reason.
func TestVoterWithoutItsLogDoesNotVote(t *testing.T) {
	c := newCluster(t)
	c.reportUntil("there is a leader", false, func() bool { return c.leader() >= 0 })
	c.stop(0)
	if err := os.Remove(filepath.Join(c.configs[0].Dir, logFile)); err != nil {
		t.Fatal(err)
	}
	if err := New(c.configs[0], nil).Run(t.Context()); err == nil ||
		!strings.Contains(err.Error(), "its log is missing") {
		t.Errorf("%v", err)
	}
	c.stop(1)
	other := c.configs[1]
	other.Self = "v2"
	if err := New(other, nil).Run(t.Context()); err == nil ||
		!strings.Contains(err.Error(), `it belongs to voter "v1"`) {
		t.Errorf("%v", err)
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	good := Config{Self: "a", Voters: []Voter{{"a", "127.0.0.1:1"}, {"b", "127.0.0.1:2"}, {"c", "127.0.0.1:3"}},
		Bind: "127.0.0.1:1", Dir: "x", Zones: zonefailover.Defaults(), Heartbeat: time.Second}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for key, change := range map[string]func(*Config){
		"voters":    func(c *Config) { c.Voters = c.Voters[:2] },
		"voters: c": func(c *Config) { c.Voters = []Voter{c.Voters[0], c.Voters[2], c.Voters[2]} },
		"dir":       func(c *Config) { c.Dir = "" },
		"bind":      func(c *Config) { c.Bind = "" },
		"heartbeat": func(c *Config) { c.Heartbeat = 0 },
		"most":      func(c *Config) { c.Zones.MaxEjectedFraction = 0 },
	} {
		c := good
		change(&c)
		if err := c.Validate(); err == nil || !strings.HasPrefix(err.Error(), key) {
			t.Errorf("%v, want one that begins with %s", err, key)
		}
	}
	for _, text := range []string{"", "a", "a=b", "=127.0.0.1:1", "a=127.0.0.1:0", "a=x:1"} {
		if _, err := ParseVoter(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
	if v, err := ParseVoter("a=127.0.0.1:7"); err != nil || v != (Voter{"a", "127.0.0.1:7"}) {
		t.Errorf("%v, %v", v, err)
	}
}
