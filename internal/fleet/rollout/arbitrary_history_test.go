package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// arbitraryHistory simulates servers, an agent, operators and lease holders that act at random.
type arbitraryHistory struct {
	now        time.Duration
	record     *Record
	controller *Controller
	reports    *ReportAggregator
	reportSeq  uint64
	servers    []Server
	nextID     int
}

func newArbitraryHistory(t *rapid.T) *arbitraryHistory {
	spec := modelSpec()
	spec.Pace = Pace{AtOnce: rapid.IntRange(1, 3).Draw(t, "at once"), ReplaceSeconds: 60, WarmupPromptsPerSecond: 1, WaitSeconds: 10}
	record, err := (&Record{}).Start(&spec)
	if err != nil {
		t.Fatal(err)
	}
	h := &arbitraryHistory{now: time.Hour, record: record, reports: passingAggregator(record)}
	h.replaceHolder()
	for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
		h.addServer(fmt.Sprint(i), spec.From)
	}
	return h
}

// replaceHolder passes the lease to another process.
func (h *arbitraryHistory) replaceHolder() {
	h.controller = NewController()
	h.controller.learningPeriod = 0
}

func (h *arbitraryHistory) addServer(addr string, revision int) {
	h.nextID++
	h.servers = append(h.servers, Server{
		ID:       fmt.Sprint("s", h.nextID),
		Addr:     addr,
		Zone:     "z",
		Region:   "r",
		Revision: revision,
		Capacity: 1,
		Healthy:  true,
		InFlight: -1,
	})
}

// operate stores the record of an operation, unless it was refused.
func (h *arbitraryHistory) operate(next *Record, err error) {
	if err == nil {
		h.record = next
	}
}

// event draws an event and simulates it.
func (h *arbitraryHistory) event(t *rapid.T) {
	switch rapid.SampledFrom([]string{"pause", "resume", "abort", "server", "holder", "report", "report", "report", "report", "report"}).Draw(t, "event") {
	case "pause":
		h.operate(h.record.Pause(h.record.Number, "x"))
	case "resume":
		h.operate(h.record.Resume(h.record.Number))
	case "abort":
		if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
			h.operate(h.record.Abort(h.record.Number, "x"))
		}
	case "server":
		h.changeServer(t)
	case "holder":
		h.replaceHolder()
	case "report":
		h.report(t)
	}
}

// changeServer changes the state of a server. One that is deregistered comes back as a new server, with
// either revision.
func (h *arbitraryHistory) changeServer(t *rapid.T) {
	s := &h.servers[rapid.IntRange(0, len(h.servers)-1).Draw(t, "server")]
	s.State = rapid.SampledFrom([]registry.State{registry.Ready, registry.Expired, registry.Draining, registry.Deregistered}).Draw(t, "state")
	if s.State == registry.Deregistered {
		h.addServer(s.Addr, rapid.SampledFrom([]int{1, 2, 2, 2}).Draw(t, "revision"))
	}
}

// report adds a report of the agent that acknowledges the record.
func (h *arbitraryHistory) report(t *rapid.T) {
	h.reportSeq++
	err := h.reports.Add(&Report{
		Source:         "a",
		Seq:            h.reportSeq,
		Region:         "r",
		Rollout:        h.record.Number,
		AppliedVersion: h.record.Version,
		InFlight:       map[string]int{},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// runPlatform lets the platform replace any of the servers that are handed over.
func (h *arbitraryHistory) runPlatform(t *rapid.T) {
	for _, d := range h.record.Draining {
		for i := range h.servers {
			s := &h.servers[i]
			if s.ID == d.ID && d.Step == DrainReplacing && s.State == registry.Ready && rapid.Bool().Draw(t, "replaced") {
				s.State = registry.Deregistered
				h.addServer(s.Addr, h.record.targetRevision())
			}
		}
	}
}

func (h *arbitraryHistory) observation() *Observation {
	observation := &Observation{Agents: h.reports.Agents([]string{"a"}), Reports: h.reports}
	for _, s := range h.servers {
		if s.State != registry.Deregistered {
			observation.Servers = append(observation.Servers, s)
		}
	}
	return observation
}

// reconcile lets the lease holder take a step, and checks the resulting record.
func (h *arbitraryHistory) reconcile(t *rapid.T) {
	observation := h.observation()
	next := h.controller.Reconcile(h.now, h.record, observation)
	if next == nil {
		return
	}
	if next.Version != h.record.Version+1 || next.Number != h.record.Number {
		t.Fatalf("version %d of rollout %d follows version %d of rollout %d", next.Version, next.Number, h.record.Version, h.record.Number)
	}
	if err := next.Validate(); err != nil {
		t.Fatal(err)
	}
	if raw, err := next.Encode(); err != nil {
		t.Fatal(err)
	} else if decoded, err := Decode(raw); err != nil || decoded.Version != next.Version {
		t.Fatal(err)
	}
	for _, d := range next.Draining {
		h.checkDrain(t, next, d, observation.Servers)
	}
	h.record = next
}

// checkDrain checks that a drain begins only within the limit, and that no ready server is handed over
// before its requests had time to finish.
func (h *arbitraryHistory) checkDrain(t *rapid.T, next *Record, d DrainingServer, servers []Server) {
	before := h.record.draining(d.ID)
	transitions := len(next.Draining) + len(next.Ramping)
	if before == nil && d.Step == DrainThird && transitions > next.Spec.Pace.AtOnce {
		t.Fatalf("%s is drained though %d servers are below their full share", d.ID, transitions)
	}
	for _, s := range servers {
		if s.ID == d.ID && s.State == registry.Ready && d.Step > DrainFinishing && (before == nil || before.Step < DrainFinishing) {
			t.Fatalf("%s goes from %v to %s in one step", d.ID, before, d.Step)
		}
	}
}

// Whatever servers, agents and operators do, each new record is valid and has the next version. No more
// servers than allowed are below their full share, except new ones that come up on their own.
func TestArbitraryHistoryKeepsRecordsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newArbitraryHistory(t)
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			h.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
			h.event(t)
			h.runPlatform(t)
			h.reconcile(t)
		}
	})
}
