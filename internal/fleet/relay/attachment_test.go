package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// takesHeartbeat reports whether a node acknowledges a heartbeat of a ready server.
func (n *manualNode) takesHeartbeat(id string, seq uint64) bool {
	return n.Heartbeat(context.Background(), server(id, seq))
}

// An acknowledged heartbeat keeps a server from calling another agent. An agent that nobody learns
// the server from must not acknowledge it, but may use what it was told.
func TestHeartbeatIsNotAcknowledgedBeforeTheCoreIsReached(t *testing.T) {
	agent := newManualNode("agent", false)
	assert.False(t, agent.takesHeartbeat("s", 1), "it has never had a session with the core")
	assert.Contains(t, agent.snapshot.Servers.ByID, "s", "it is listed here all the same")
	relay := agent.connect("addr of relay", "relay/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true})
	assert.True(t, agent.takesHeartbeat("s", 2))
}

// The core ends the lease of an agent that it does not reach, and with it drops the servers that only
// this agent hears from.
func TestHeartbeatIsNotAcknowledgedOnceTheCoreIsLost(t *testing.T) {
	agent := newManualNode("agent", false)
	relay := agent.connect("addr of relay", "relay/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true})
	assert.True(t, agent.takesHeartbeat("s", 1))
	agent.removeSession(relay)
	seq := uint64(1)
	agent.runFor(leaseDuration/2, func() {
		seq++
		assert.True(t, agent.takesHeartbeat("s", seq), "a relay that is lost for a moment is no reason to send servers away")
	})
	agent.runFor(leaseDuration, nil)
	assert.False(t, agent.takesHeartbeat("s", seq+1))
	agent.runFor(time.Minute, nil)
	assert.Contains(t, agent.snapshot.Servers.ByID, "s", "that a server was sent away is no sign that it is gone")
}
