package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// arbitraryHistory applies events to a picker in any order.
type arbitraryHistory struct {
	picker   *Picker
	now      time.Duration
	seq      uint64               // sequence number of the instances in the current list
	listed   map[string]uint64    // sequence numbers of the listed instances, by ID
	attempts []*Attempt           // all attempts so far
	checks   []*registry.Instance // instances with a health check in flight
}

func newArbitraryHistory(t *rapid.T) *arbitraryHistory {
	options := Options{Zone: "z1", Seed: rapid.Uint64().Draw(t, "seed"), PrefixIndexBytes: 20_000}
	return &arbitraryHistory{picker: New(options), seq: 1, listed: map[string]uint64{}}
}

// advance advances the time by up to 1.5 seconds.
func (h *arbitraryHistory) advance(t *rapid.T) {
	h.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * ms
}

// attempt returns any attempt so far.
func (h *arbitraryHistory) attempt(t *rapid.T) *Attempt {
	if len(h.attempts) == 0 {
		t.Skip("no attempt has begun")
	}
	return h.attempts[rapid.IntRange(0, len(h.attempts)-1).Draw(t, "attempt")]
}

func (h *arbitraryHistory) updateInstances(t *rapid.T) {
	h.advance(t)
	var instances []*registry.Instance
	clear(h.listed)
	h.seq += uint64(rapid.IntRange(0, 1).Draw(t, "seq"))
	for _, instance := range testInstances(rapid.SampledFrom([]int{0, 1, 3, 10, 90}).Draw(t, "instances")) {
		if rapid.IntRange(0, 5).Draw(t, "listed") > 0 {
			instance.Seq = h.seq
			instance.WarmUp = time.Duration(rapid.IntRange(0, 2).Draw(t, "warm-up")) * time.Second
			instances = append(instances, instance)
			h.listed[instance.ID] = h.seq
		}
	}
	h.picker.UpdateInstances(h.now, instanceList(instances...))
	for id, seq := range h.picker.misdirected {
		if seq >= h.seq {
			delete(h.listed, id)
		}
	}
}

func (h *arbitraryHistory) updateConfig(*rapid.T) { h.picker.UpdateConfig(h.now, testConfig()) }

func (h *arbitraryHistory) pick(t *rapid.T) {
	h.advance(t)
	r := newTestRequest(uint64(rapid.IntRange(0, 5).Draw(t, "key")), uint64(len(h.attempts)))
	r.TimeLeft = time.Duration(rapid.IntRange(-10, 5000).Draw(t, "time left")) * ms
	r.Elapsed = time.Duration(rapid.IntRange(0, 1000).Draw(t, "elapsed")) * ms
	r.Route = rapid.SampledFrom([]*config.Route{urgentRoute, draftRoute, nil}).Draw(t, "route")
	if rapid.Bool().Draw(t, "without segments") {
		r.Segments = nil
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "tried") {
		r.TriedInstances = append(r.TriedInstances, fmt.Sprintf("i-%04d", i))
	}
	decision := h.picker.Pick(h.now, r)
	if decision.Action == Reject {
		require.Nil(t, decision.Attempt)
		require.GreaterOrEqual(t, decision.RetryAfter, minRetryAfter)
		require.NotEmpty(t, decision.Reason)
		return
	}
	require.Contains(t, h.listed, decision.Instance.ID)
	require.NotContains(t, r.TriedInstances, decision.Instance.ID)
	h.attempts = append(h.attempts, decision.Attempt)
}

func (h *arbitraryHistory) sent(t *rapid.T) { h.attempt(t).Sent(h.now) }

func (h *arbitraryHistory) headers(t *rapid.T) {
	h.advance(t)
	load := &Load{
		Running: rapid.IntRange(0, 9).Draw(t, "running"),
		Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"),
		Slots:   8,
	}
	h.attempt(t).Headers(h.now, 200, load)
}

func (h *arbitraryHistory) event(t *rapid.T) {
	h.advance(t)
	h.attempt(t).Events(h.now, 1)
}

func (h *arbitraryHistory) end(t *rapid.T) {
	h.advance(t)
	a := h.attempt(t)
	outcome := Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome"))
	id := a.server.instance.ID
	if !a.ended && outcome == Misdirected && h.listed[id] <= a.instanceSeq {
		delete(h.listed, id)
	}
	a.End(h.now, outcome)
}

func (h *arbitraryHistory) startChecks(t *rapid.T) {
	h.advance(t)
	h.checks = append(h.checks, h.picker.DueHealthChecks(h.now)...)
	require.Greater(t, h.picker.HealthCheckInterval(), time.Duration(0))
}

func (h *arbitraryHistory) endCheck(t *rapid.T) {
	if len(h.checks) > 0 {
		h.picker.HealthCheckDone(h.now, h.checks[0].ID, rapid.Bool().Draw(t, "healthy"), nil)
		h.checks = h.checks[1:]
	}
}

func (h *arbitraryHistory) remotePrefill(t *rapid.T) {
	id := fmt.Sprintf("i-%04d", rapid.IntRange(0, 9).Draw(t, "instance"))
	h.picker.ObserveRemotePrefill(h.now, 0, &PrefillNotice{Instance: id, PromptTokens: 9000, UncachedTokens: 9000})
}

// check verifies that the picker knows exactly the listed servers and that its counts are right.
func (h *arbitraryHistory) check(t *rapid.T) {
	p := h.picker
	require.Len(t, p.servers, len(h.listed))
	checks, inFlight, sum := 0, 0, 0
	for id, s := range p.servers {
		require.Contains(t, h.listed, id)
		require.Len(t, s.attempts, s.inFlight)
		if s.checkInFlight {
			checks++
		}
	}
	for _, a := range h.attempts {
		if !a.ended {
			inFlight++
		}
	}
	for _, svc := range p.services {
		sum += svc.inFlight
		require.Len(t, svc.ring, len(svc.servers))
	}
	require.Equal(t, checks, p.checksInFlight)
	require.LessOrEqual(t, checks, maxChecksInFlight)
	require.Equal(t, inFlight, sum)
	require.Len(t, p.Snapshot(h.now), len(h.listed))
}

// TestArbitraryHistory requires that, in any order of events, counts are right and no request goes to
// a server that is not listed or was tried.
func TestArbitraryHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newArbitraryHistory(t)
		t.Repeat(map[string]func(*rapid.T){
			"instances":      h.updateInstances,
			"config":         h.updateConfig,
			"pick":           h.pick,
			"sent":           h.sent,
			"headers":        h.headers,
			"event":          h.event,
			"end":            h.end,
			"start checks":   h.startChecks,
			"end check":      h.endCheck,
			"remote prefill": h.remotePrefill,
			"":               h.check,
		})
	})
}
