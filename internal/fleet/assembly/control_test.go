package assembly

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

func TestOutcomeOf(t *testing.T) {
	t.Parallel()
	for outcome, want := range map[chain.Outcome]controlapi.Outcome{
		chain.OutcomeCommitted: controlapi.OutcomeCommitted,
		chain.OutcomeConflict:  controlapi.OutcomeConflict,
		chain.OutcomeInvalid:   controlapi.OutcomeInvalid,
		77:                     controlapi.OutcomeUnknown,
	} {
		assert.Equal(t, want, outcomeOf(outcome))
	}
}

// The core asks for addresses before the relay is created, as it is opened first.
func TestAddressesBeforeTheRelay(t *testing.T) {
	t.Parallel()
	assert.Empty(t, KnownCoreAddrs(nil))
	assert.Empty(t, UnreachedAddrs(nil))
}

// A machine of the core is recognized by its IP address, whatever port it calls from. Before any member of the core
// is known, the seeds count as the core.
func TestPriorityCallers(t *testing.T) {
	t.Parallel()
	var members []relay.Peer
	isPriority := IsPriorityCaller(func() []relay.Peer { return members }, func() []string { return []string{"10.0.0.9:7300"} })
	caller := func(ip string) net.Addr { return &net.TCPAddr{IP: net.ParseIP(ip), Port: 40000} }
	assert.True(t, isPriority(caller("10.0.0.9")))
	assert.False(t, isPriority(caller("10.0.0.1")))
	members = []relay.Peer{{Addr: "10.0.0.1:7300"}, {Addr: "10.0.0.2:7300"}}
	assert.True(t, isPriority(caller("10.0.0.1")))
	assert.True(t, isPriority(caller("10.0.0.2")))
	assert.False(t, isPriority(caller("10.0.0.9")), "the core is known")
	assert.False(t, isPriority(caller("10.0.0.3")))
	assert.False(t, isPriority(&net.UnixAddr{Name: "socket"}))
}
