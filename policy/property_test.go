package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// simulation runs random clients, servers and list updates against one Balancer and checks from its actions
// alone that it keeps the contract.
type simulation struct {
	t             *testing.T
	rng           *rand.Rand
	settings      Settings
	balancer      *Balancer
	now           float64
	lastID        RequestID
	requests      map[RequestID]*simRequest
	timers        []simTimer
	list          map[Addr]Endpoint
	drainingSince map[Addr]float64 // when a server was listed as draining or removed
	history       []Action
}

type simAttempt struct {
	server Addr
	sentAt float64
	endsAt float64
	status Status
	ended  bool
}

type simRequest struct {
	class          int
	deadline       float64
	attempts       []*simAttempt
	finalResponses int
}

type simTimer struct {
	at    float64
	token uint32
}

func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Limits.AllowParallelAttempts = rng.IntN(2) == 0
	s.Limits.AllowCancel = rng.IntN(2) == 0
	s.Limits.AllowProbes = rng.IntN(2) == 0
	s.Limits.MaxAttempts = 1 + rng.IntN(5)
	s.Classes[2].DedupScope = []DedupScope{DedupEverywhere, DedupWithinZone, DedupWithinCell}[rng.IntN(3)]
	s.Classes[2].DedupWindowMs = 100 + 900*rng.Float64()
	for i := range s.Classes {
		s.Classes[i].LatencyTargetMs = 50 + 400*rng.Float64()
		s.Classes[i].LateValueShare = []float64{0, 0.2}[rng.IntN(2)]
	}
	if rng.IntN(2) == 0 {
		s.Membership = "on_request"
	}
	if rng.IntN(2) == 0 {
		s.Tenants = []Tenant{{Name: "a", QuotaShare: 0.7}, {Name: "b", QuotaShare: 0.3}}
		s.OverQuotaValue = 0.1
	}
	s.Clients.MarksRetry = rng.IntN(2) == 0
	return s
}

func (w *simulation) apply(actions []Action) {
	w.history = append(w.history, actions...)
	for _, a := range actions {
		r := w.requests[a.Request]
		switch a.Kind {
		case ActionSend:
			w.checkSend(r, &a)
			endsAt := w.now + 1 + 150*w.rng.Float64()
			st := []Status{OK, OK, OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset}[w.rng.IntN(10)]
			if st == Timeout {
				endsAt = w.now + a.DurationMs
			}
			r.attempts = append(r.attempts, &simAttempt{server: a.Server, sentAt: w.now,
				endsAt: min(endsAt, w.now+a.DurationMs), status: st})
		case ActionReject, ActionFail:
			if r.finalResponses++; r.finalResponses > 1 {
				w.t.Fatalf("request %d: a second final response", a.Request)
			}
			if w.now > r.deadline+w.settings.Contract.ResponseGraceMs {
				w.t.Fatalf("request %d answered %.1f ms after its deadline", a.Request, w.now-r.deadline)
			}
			c := w.settings.Classes[r.class]
			if a.Kind == ActionReject && r.mayHaveRun() && (c.Idempotency == NonIdempotent ||
				c.Idempotency == Deduplicated && c.DedupScope != DedupEverywhere) {
				w.t.Fatalf("request %d of idempotency %s rejected although it may have been executed",
					a.Request, c.Idempotency)
			}
		case ActionCancel:
			if !w.settings.Limits.AllowCancel {
				w.t.Fatal("an attempt was cancelled although that is not allowed")
			}
			if cancelled := r.attempts[a.Attempt]; !cancelled.ended {
				cancelled.status, cancelled.endsAt = Cancelled, w.now+5
			}
		case ActionProbe:
			if !w.settings.Limits.AllowProbes {
				w.t.Fatal("a server was probed although that is not allowed")
			}
		case ActionTimer:
			w.timers = append(w.timers, simTimer{w.now + a.DurationMs, a.Token})
		}
	}
}

func (r *simRequest) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(t *simAttempt) bool {
		return !t.ended || !t.status.NotExecuted()
	})
}

func (w *simulation) checkSend(r *simRequest, a *Action) {
	c := w.settings.Classes[r.class]
	if r.finalResponses > 0 || w.now > r.deadline {
		w.t.Fatalf("request %d sent after its final response or deadline", a.Request)
	}
	if len(r.attempts) >= w.settings.Limits.MaxAttempts {
		w.t.Fatalf("request %d: attempt %d of at most %d", a.Request, len(r.attempts)+1,
			w.settings.Limits.MaxAttempts)
	}
	if since, draining := w.drainingSince[a.Server]; draining &&
		w.now-since > w.settings.Contract.DrainGraceMs {
		w.t.Fatalf("sent to %v %.0f ms after it was listed as draining", a.Server, w.now-since)
	}
	for _, t := range r.attempts {
		if !t.ended && !w.settings.Limits.AllowParallelAttempts {
			w.t.Fatalf("request %d: two attempts in flight", a.Request)
		}
		if t.ended && t.status.NotExecuted() {
			continue
		}
		x, y := w.list[t.server], w.list[a.Server]
		switch {
		case c.Idempotency == NonIdempotent:
			w.t.Fatalf("request %d sent again although it may have been executed", a.Request)
		case c.Idempotency == Deduplicated && w.now-t.sentAt > c.DedupWindowMs:
			w.t.Fatalf("request %d sent again %.0f ms after it may have been executed", a.Request,
				w.now-t.sentAt)
		case c.Idempotency == Deduplicated && (c.DedupScope == DedupWithinZone && x.Zone != y.Zone ||
			c.DedupScope == DedupWithinCell && x.Cell != y.Cell):
			w.t.Fatalf("request %d sent again outside its deduplication scope", a.Request)
		}
	}
}

func (w *simulation) handle(ev Event) { w.apply(w.balancer.Handle(w.now, &ev, nil)) }

func (w *simulation) step() {
	w.now += w.settings.RoundMs
	for i := 0; i < len(w.timers); i++ {
		if t := w.timers[i]; t.at <= w.now {
			w.timers = slices.Delete(w.timers, i, i+1)
			i--
			w.handle(Event{Kind: EventTimer, Token: t.token})
		}
	}
	for id := RequestID(1); id <= w.lastID; id++ {
		r := w.requests[id]
		if r == nil {
			continue
		}
		open := false
		for i, t := range r.attempts {
			if t.ended {
				continue
			}
			if t.endsAt > w.now {
				open = true
				continue
			}
			t.ended = true
			if t.status == OK {
				r.finalResponses++ // a second response has no effect
				r.finalResponses = min(r.finalResponses, 1)
			}
			w.handle(Event{Kind: EventAttemptEnded, Request: id, Attempt: i, Server: t.server,
				Status: t.status, LatencyMs: w.now - t.sentAt, Final: r.finalResponses > 0})
		}
		if r.finalResponses == 0 && w.now > r.deadline+w.settings.Contract.ResponseGraceMs {
			w.t.Fatalf("request %d of class %d has no response %.0f ms after its deadline", id, r.class,
				w.now-r.deadline)
		}
		if r.finalResponses > 0 && !open && len(r.attempts) > 0 && w.now > r.deadline+100 {
			delete(w.requests, id)
		}
	}
}

func (w *simulation) changeList() {
	s := addr(w.rng.IntN(8))
	e := Endpoint{Server: s, Zone: int(s[3]) % 2, Cell: int(s[3]) % 3, Weight: 1 + w.rng.Float64(),
		Status: []ListedStatus{Ready, Ready, Draining, Removed}[w.rng.IntN(4)]}
	if w.rng.IntN(3) == 0 {
		e.StartedMs = w.now - 100*w.rng.Float64()
	}
	w.list[s] = e
	if e.Status == Ready {
		delete(w.drainingSince, s)
	} else if _, draining := w.drainingSince[s]; !draining {
		w.drainingSince[s] = w.now
	}
	w.handle(Event{Kind: EventDiscovery, Update: UpdateDelta, Endpoints: []Endpoint{e}})
}

func runSimulation(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &simulation{t: t, rng: rng, settings: randomSettings(rng), now: 5000,
		requests: map[RequestID]*simRequest{}, list: map[Addr]Endpoint{}, drainingSince: map[Addr]float64{}}
	var err error
	if w.balancer, err = New(w.settings, seed); err != nil {
		t.Fatal(err)
	}
	w.apply(w.balancer.Start(w.now, nil))
	for range 10 {
		w.changeList()
	}
	for i := range 1500 {
		w.step()
		for i < 1200 && rng.IntN(3) == 0 {
			w.lastID++
			remaining := 20 + 800*rng.Float64()
			class := rng.IntN(len(w.settings.Classes))
			w.requests[w.lastID] = &simRequest{class: class, deadline: w.now + remaining}
			w.handle(Event{Kind: EventRequest, Request: w.lastID, Class: class, Tenant: rng.IntN(2),
				Key:         uint64(rng.IntN(30)),
				RemainingMs: remaining, HasWorkHint: rng.IntN(2) == 0, WorkHintMs: 100 * rng.Float64(),
				IsRetry: rng.IntN(5) == 0})
		}
		switch rng.IntN(40) {
		case 0:
			w.changeList()
		case 1:
			if r := w.requests[w.lastID]; r != nil && r.finalResponses == 0 {
				r.finalResponses = 1
				w.handle(Event{Kind: EventClientGone, Request: w.lastID})
			}
		case 2: // events of unknown requests are ignored
			w.handle(Event{Kind: EventAttemptEnded, Request: 1 << 30, Server: addr(1), Status: OK})
			w.handle(Event{Kind: EventClientGone, Request: 1 << 30})
			w.handle(Event{Kind: EventTimer, Token: 99})
			w.handle(Event{Kind: EventDiscovery, Update: UpdateFailed})
		}
	}
	if n := len(w.balancer.requests); n != 0 || len(w.balancer.pending) != 0 || w.balancer.inFlight != 0 {
		t.Errorf("seed %d: %d requests, %d pending, %d attempts in flight at the end", seed, n,
			len(w.balancer.pending), w.balancer.inFlight)
	}
	for _, s := range w.balancer.servers {
		if len(s.inFlight) != 0 {
			t.Errorf("seed %d: server %v has %d attempts in flight at the end", seed, s.addr, len(s.inFlight))
		}
	}
	if len(w.balancer.unservedRequests) > maxPending {
		t.Errorf("seed %d: %d unserved requests remembered", seed, len(w.balancer.unservedRequests))
	}
	return w.history
}

func TestContractHoldsInRandomSimulations(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSimulation(t, seed) })
	}
}

func TestEqualInputsGiveEqualActions(t *testing.T) {
	for seed := range uint64(5) {
		if !reflect.DeepEqual(runSimulation(t, seed), runSimulation(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}
