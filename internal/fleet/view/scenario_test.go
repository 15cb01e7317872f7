package view

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testPolicy = Policy{
	Tolerance:    Tolerance{Machines: 1},
	FailAfter:    600 * time.Millisecond,
	StableAfter:  300 * time.Millisecond,
	ReplaceAfter: 2 * time.Second,
}

func tolerateMachines(n int) Tolerance { return Tolerance{Machines: n} }

// testPeer returns a peer whose zone is the first letter of its name.
func testPeer(name string) Peer {
	return Peer{ID: name, Addr: name + ":1", Zone: name[:1], Disk: true, Counted: true}
}

// testPeers returns peers with the given space-separated names.
func testPeers(names string) (peers []Peer) {
	for _, name := range strings.Fields(names) {
		peers = append(peers, testPeer(name))
	}
	return peers
}

// testPeersAt returns peers for space-separated names of the form REGION/ZONE/NAME.
func testPeersAt(names string) (peers []Peer) {
	for _, name := range strings.Fields(names) {
		parts := strings.Split(name, "/")
		peer := testPeer(parts[2])
		peer.Region, peer.Zone = parts[0], parts[1]
		peers = append(peers, peer)
	}
	return peers
}

func joinIDs(peers []Peer) string {
	var ids []string
	for _, peer := range peers {
		ids = append(ids, peer.ID)
	}
	return strings.Join(ids, " ")
}

// scenario has a view and the health of its peers, all of which are healthy at first.
type scenario struct {
	view      View
	health    map[string]Health
	tolerance *Tolerance // nil for the tolerance of testPolicy
}

// newScenario returns a scenario whose chain has all peers.
func newScenario(t *testing.T, names string) *scenario {
	t.Helper()
	return newScenarioOf(t, testPeers(names), tolerateMachines(9))
}

// newZonedScenario returns a scenario with the given regions, zones and tolerance.
func newZonedScenario(t *testing.T, names string, tolerance Tolerance) *scenario {
	t.Helper()
	s := newScenarioOf(t, testPeersAt(names), tolerance)
	s.tolerance = &tolerance
	return s
}

func newScenarioOf(t *testing.T, peers []Peer, tolerance Tolerance) *scenario {
	t.Helper()
	initial, ok := InitialView(peers, tolerance)
	require.True(t, ok)
	s := &scenario{view: initial, health: map[string]Health{}}
	for _, voter := range initial.Voters {
		s.addPeer(voter)
	}
	return s
}

// addPeer adds a healthy peer that is in contact with all others.
func (s *scenario) addPeer(peer Peer) {
	addedHealth := Health{Peer: peer, StableFor: time.Hour, Uptime: time.Hour, Complete: s.view.Position(peer.ID) >= 0}
	for id, h := range s.health {
		h.ConnectedTo = append(h.ConnectedTo, peer.ID)
		s.health[id] = h
		addedHealth.ConnectedTo = append(addedHealth.ConnectedTo, id)
	}
	s.health[peer.ID] = addedHealth
}

// addPeerAt adds a peer that is the new disk of a machine.
func (s *scenario) addPeerAt(id, machineName string) *scenario {
	peer := testPeer(machineName)
	peer.ID = id
	s.addPeer(peer)
	return s
}

func (s *scenario) update(id string, change func(h *Health)) *scenario {
	h := s.health[id]
	change(&h)
	s.health[id] = h
	return s
}

func (s *scenario) loseContact(id string, since time.Duration) *scenario {
	return s.update(id, func(h *Health) { h.SinceContact, h.StableFor = since, 0 })
}

func (s *scenario) regainContact(id string, since time.Duration) *scenario {
	return s.update(id, func(h *Health) { h.SinceContact, h.StableFor = 0, since })
}

func (s *scenario) setDiskUnhealthy(id string, unhealthy bool) *scenario {
	return s.update(id, func(h *Health) { h.DiskUnhealthy = unhealthy })
}

func (s *scenario) setComplete(id string) *scenario {
	return s.update(id, func(h *Health) { h.Complete = true })
}

func (s *scenario) shutDown(id string) *scenario {
	return s.update(id, func(h *Health) { h.Leaving = true })
}

// completeMembers marks all members of the chain as complete.
func (s *scenario) completeMembers() *scenario {
	for _, member := range s.view.Chain {
		s.setComplete(member.ID)
	}
	return s
}

func (s *scenario) policy() Policy {
	policy := testPolicy
	if s.tolerance != nil {
		policy.Tolerance = *s.tolerance
	}
	return policy
}

func (s *scenario) chainIDs() string {
	var ids []string
	for _, member := range s.view.Chain {
		ids = append(ids, member.ID)
	}
	return strings.Join(ids, " ")
}

func (s *scenario) mayLeave(id string) bool { return MayLeave(s.view, id, s.health, s.policy()) }

func (s *scenario) plan(t *testing.T) (Step, bool) {
	t.Helper()
	return Plan(s.view, s.health, s.policy())
}

// plannedView returns the view of the next step, or the current view if no step is due.
func (s *scenario) plannedView(t *testing.T) View {
	t.Helper()
	step, due := s.plan(t)
	if !due || step.View == nil {
		return s.view
	}
	require.NoError(t, step.View.Validate(), step.Reason)
	return *step.View
}

// adopt makes the view of a step the current view.
func (s *scenario) adopt(t *testing.T, step Step) {
	t.Helper()
	require.NotNil(t, step.View)
	require.Equal(t, s.view.Number+1, step.View.Number)
	require.NoError(t, step.View.Validate())
	for id, h := range s.health {
		position := step.View.Position(id)
		h.Complete = position >= 0 && h.Complete && step.View.Chain[position].JoinedIn <= s.view.Number
		s.health[id] = h
	}
	s.view = *step.View
}

// requireStep requires that a step is due, adopts it, and compares the new chain.
func (s *scenario) requireStep(t *testing.T, chain string) Step {
	t.Helper()
	step, due := s.plan(t)
	require.True(t, due, "no step is due")
	s.adopt(t, step)
	require.Equal(t, chain, s.chainIDs(), step.Reason)
	return step
}

func (s *scenario) requireNoStep(t *testing.T) {
	t.Helper()
	step, due := s.plan(t)
	require.False(t, due, step.Reason)
}
