package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Several servers call several agents in any order, and some calls arrive late. Agents replicate to each
// other, end, start new incarnations and freeze. An agent that knows a final state of a server never lists
// it again. Finally, all agents list exactly the servers that send heartbeats, and forget the others.
func TestTablesOfSeveralAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newTableSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"beat":   simulation.sendHeartbeat,
			"drain":  simulation.drain,
			"leave":  simulation.deregister,
			"arrive": simulation.deliver,
			"pull":   simulation.sync,
			"end":    simulation.endSource,
			"rebase": simulation.startIncarnation,
			"time":   simulation.advance,
			"freeze": simulation.freeze,
			"":       simulation.checkFinalStates,
		})
		simulation.converge()
		alive, heartbeats := simulation.startHeartbeats(t)
		simulation.run(15*heartbeatInterval, heartbeats)
		simulation.checkLists(t, alive)
		simulation.run(2*tombstoneRetention, heartbeats)
		simulation.checkLists(t, alive)
		for i, agent := range simulation.fleet.agents {
			require.Len(t, agent.entries, len(alive), "agent %d retains servers that have ended", i)
			require.LessOrEqual(t, len(agent.local), len(alive))
		}
	})
}

// tableSimulation is a fleet of three agents, and three servers that call them at random.
type tableSimulation struct {
	fleet       *testFleet
	ids         []string
	seq         map[string]uint64  // by ID: sequence number of the latest call
	hasEnded    map[string]bool    // by ID: whether it has reported a drain or an end
	inFlight    []Instance         // calls that may still arrive, once or several times
	finalStates []map[string]State // by agent, then by ID
	start       time.Duration
	nextSync    time.Duration // time of the next sync; used after converge
	drawAgent   *rapid.Generator[int]
	drawID      *rapid.Generator[string]
}

func newTableSimulation() *tableSimulation {
	fleet := newTestFleet("a", "b", "c")
	ids := []string{"s0", "s1", "s2"}
	return &tableSimulation{
		fleet:       fleet,
		ids:         ids,
		seq:         map[string]uint64{},
		hasEnded:    map[string]bool{},
		finalStates: []map[string]State{{}, {}, {}},
		start:       fleet.now,
		drawAgent:   rapid.IntRange(0, 2),
		drawID:      rapid.SampledFrom(ids),
	}
}

// sendHeartbeat sends a heartbeat of a server, which may remain in flight.
func (s *tableSimulation) sendHeartbeat(t *rapid.T) {
	id := s.drawID.Draw(t, "server")
	s.seq[id]++
	instance := ready(id, s.seq[id])
	if s.hasEnded[id] {
		instance.State = Draining
	}
	if rapid.Bool().Draw(t, "late") {
		s.inFlight = append(s.inFlight, instance)
		return
	}
	s.fleet.agents[s.drawAgent.Draw(t, "at")].call(s.fleet.now, instance)
}

func (s *tableSimulation) drain(t *rapid.T) {
	id, at := s.drawID.Draw(t, "server"), s.drawAgent.Draw(t, "at")
	s.seq[id]++
	s.hasEnded[id] = true
	s.fleet.agents[at].call(s.fleet.now, draining(id, s.seq[id]))
	state, ok := s.fleet.agents[at].state(id)
	require.True(t, ok && state >= Draining, "%s at %d: %v", id, at, state)
}

func (s *tableSimulation) deregister(t *rapid.T) {
	id, at := s.drawID.Draw(t, "server"), s.drawAgent.Draw(t, "at")
	s.seq[id]++
	s.hasEnded[id] = true
	s.fleet.agents[at].call(s.fleet.now, Instance{ID: id, State: Deregistered})
	state, ok := s.fleet.agents[at].state(id)
	require.True(t, ok && state == Deregistered, "%s at %d: %v", id, at, state)
}

// deliver delivers a call that is in flight and keeps it, so that it may arrive again.
func (s *tableSimulation) deliver(t *rapid.T) {
	if len(s.inFlight) == 0 {
		t.Skip()
	}
	s.fleet.agents[s.drawAgent.Draw(t, "at")].call(s.fleet.now, rapid.SampledFrom(s.inFlight).Draw(t, "call"))
}

func (s *tableSimulation) sync(t *rapid.T) {
	s.fleet.agents[s.drawAgent.Draw(t, "to")].syncFrom(s.fleet.now, s.fleet.agents[s.drawAgent.Draw(t, "from")])
}

func (s *tableSimulation) endSource(t *rapid.T) {
	s.fleet.agents[s.drawAgent.Draw(t, "at")].endSource(s.fleet.now, s.fleet.agents[s.drawAgent.Draw(t, "of")].store.OwnSource())
}

func (s *tableSimulation) startIncarnation(t *rapid.T) {
	s.fleet.agents[s.drawAgent.Draw(t, "agent")].startIncarnation(s.fleet.now)
}

func (s *tableSimulation) advance(t *rapid.T) {
	if s.withinRetention() {
		s.fleet.run(time.Duration(rapid.IntRange(1, 25).Draw(t, "ticks"))*tickInterval, nil)
	}
}

func (s *tableSimulation) freeze(*rapid.T) {
	if s.withinRetention() {
		s.fleet.now += 3 * time.Second
	}
}

// withinRetention returns whether agents must still remember all final states.
func (s *tableSimulation) withinRetention() bool {
	return s.fleet.now-s.start < tombstoneRetention-5*time.Second
}

// checkFinalStates requires that no agent has lost a final state.
func (s *tableSimulation) checkFinalStates(t *rapid.T) {
	for i, agent := range s.fleet.agents {
		for _, id := range s.ids {
			state, ok := agent.state(id)
			if final, known := s.finalStates[i][id]; known {
				require.True(t, ok && state >= final, "%s at %d: %v after %v", id, i, state, final)
				require.False(t, agent.lists(id))
			}
			if ok && state >= Draining {
				s.finalStates[i][id] = state
			}
		}
		for id := range agent.local {
			require.Contains(t, agent.entries, id)
		}
	}
}

// converge starts a new incarnation of each agent, as other agents may have ended the old one. It ends the
// old incarnations at all agents and replicates everything.
func (s *tableSimulation) converge() {
	current := map[string]bool{}
	for _, agent := range s.fleet.agents {
		agent.startIncarnation(s.fleet.now)
		current[agent.store.OwnSource()] = true
	}
	for _, agent := range s.fleet.agents {
		for _, source := range agent.store.Sources() {
			if !current[source] {
				agent.endSource(s.fleet.now, source)
			}
		}
	}
	s.fleet.syncAll()
	s.nextSync = s.fleet.now
}

// startHeartbeats chooses, among the servers without a final state, those that continue to send heartbeats.
// It returns a function that sends the heartbeats that are due.
func (s *tableSimulation) startHeartbeats(t *rapid.T) (alive map[string]bool, heartbeats func()) {
	alive = map[string]bool{}
	var senders []func()
	for _, id := range s.ids {
		if s.mostFinalState(id) < Draining && !s.hasEnded[id] && rapid.Bool().Draw(t, "alive") {
			alive[id] = true
			instance := ready(id, s.seq[id]+uint64(len(s.inFlight)))
			senders = append(senders, s.fleet.heartbeats(s.fleet.agents[s.drawAgent.Draw(t, "home")], &instance))
		}
	}
	return alive, func() {
		for _, send := range senders {
			send()
		}
	}
}

// mostFinalState returns the most final state of a server at any agent.
func (s *tableSimulation) mostFinalState(id string) State {
	state := Ready
	for _, agent := range s.fleet.agents {
		if known, ok := agent.state(id); ok {
			state = max(state, known)
		}
	}
	return state
}

// run runs the fleet for a duration and replicates everything once per heartbeat interval.
func (s *tableSimulation) run(d time.Duration, heartbeats func()) {
	s.fleet.run(d, func() {
		heartbeats()
		if s.fleet.now >= s.nextSync {
			s.nextSync += heartbeatInterval
			s.fleet.syncAll()
		}
	})
}

// checkLists requires that all agents list exactly the servers that are alive.
func (s *tableSimulation) checkLists(t *rapid.T, alive map[string]bool) {
	for i, agent := range s.fleet.agents {
		for _, id := range s.ids {
			require.Equal(t, alive[id], agent.lists(id), "%s at %d", id, i)
		}
	}
}
