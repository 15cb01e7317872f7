package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	leaseDuration = 2500 * time.Millisecond
	// checkInterval is the interval at which a polledTable is checked.
	checkInterval = 200 * time.Millisecond
)

// polledTable is a table that is checked for expired leases at intervals, as by its user.
type polledTable struct {
	*Table
	now time.Duration
}

func newPolledTable() *polledTable {
	return &polledTable{Table: New(leaseDuration), now: time.Second}
}

// advance lets time pass and returns the agents whose leases have expired at the end.
func (p *polledTable) advance(duration time.Duration) (expired []string) {
	for end := p.now + duration; p.now < end; {
		p.now += min(checkInterval, end-p.now)
		expired = p.Expired(p.now)
	}
	return expired
}

func TestLeaseExpiresOnceNobodyGrantsIt(t *testing.T) {
	table := newPolledTable()
	table.Grant(table.now, "agent-a", "core-1")
	table.Grant(table.now, "agent-a", "core-2")
	assert.Empty(t, table.advance(time.Minute), "a granted lease never expires")
	table.Revoke(table.now, "agent-a", "core-1")
	table.Revoke(table.now, "agent-a", "core-1") // a second time
	table.Revoke(table.now, "agent-a", "core-3") // not a grantor
	table.Revoke(table.now, "agent-b", "core-1") // not a known agent
	assert.True(t, table.Granted("agent-a"))
	assert.Empty(t, table.advance(time.Minute), "another machine grants it")
	table.Revoke(table.now, "agent-a", "core-2")
	assert.False(t, table.Granted("agent-a"))
	assert.Empty(t, table.advance(leaseDuration))
	table.Revoke(table.now, "agent-a", "core-2") // a late repetition does not extend the lease
	assert.Equal(t, []string{"agent-a"}, table.advance(time.Millisecond))
	table.Remove(table.now, "agent-a")
	assert.Empty(t, table.advance(time.Minute))
	assert.Empty(t, table.leases)
}

func TestGrantBeforeExpiryRenews(t *testing.T) {
	table := newPolledTable()
	table.Grant(table.now, "agent-a", "core-1")
	table.Revoke(table.now, "agent-a", "core-1")
	require.Empty(t, table.advance(leaseDuration))
	table.Grant(table.now, "agent-a", "core-2")
	assert.Empty(t, table.advance(time.Minute))
	table.Revoke(table.now, "agent-a", "core-2")
	assert.Empty(t, table.advance(leaseDuration), "the lease has its full duration again")
	assert.Equal(t, []string{"agent-a"}, table.advance(time.Millisecond))
}

// An agent without a lease has one lease duration to get one.
func TestObservedAgentWithoutLeaseExpires(t *testing.T) {
	table := newPolledTable()
	table.Observe(table.now, "agent-a")
	require.Empty(t, table.advance(leaseDuration))
	table.Observe(table.now, "agent-a") // does not extend the time
	assert.Equal(t, []string{"agent-a"}, table.advance(time.Millisecond))
	assert.False(t, table.Granted("agent-a"))
	assert.False(t, table.Granted("unknown"))
}

func TestUngrantedFor(t *testing.T) {
	table := newPolledTable()
	assert.Zero(t, table.UngrantedFor(table.now, "unknown"))
	table.Grant(table.now, "agent-a", "core-1")
	table.advance(time.Second)
	assert.Zero(t, table.UngrantedFor(table.now, "agent-a"))
	table.Revoke(table.now, "agent-a", "core-1")
	table.advance(time.Second)
	assert.Equal(t, time.Second, table.UngrantedFor(table.now, "agent-a"))
}

// The leases granted by a removed grantor are revoked, but not those granted by others.
func TestRemovedGrantorRevokesItsLeases(t *testing.T) {
	table := newPolledTable()
	table.Grant(table.now, "agent-a", "core-1")
	table.Grant(table.now, "agent-b", "core-1")
	table.Grant(table.now, "agent-b", "core-2")
	table.Grant(table.now, "core-1", "core-2")
	table.Remove(table.now, "core-1")
	assert.False(t, table.Granted("agent-a"))
	assert.True(t, table.Granted("agent-b"))
	assert.False(t, table.Granted("core-1"))
	assert.Equal(t, []string{"agent-a"}, table.advance(leaseDuration+time.Millisecond))
}

// After a suspension leases get their full duration again, as the process does not know what happened meanwhile.
func TestSuspensionRestartsLeases(t *testing.T) {
	table := newPolledTable()
	table.Grant(table.now, "agent-a", "core-1")
	table.Revoke(table.now, "agent-a", "core-1")
	require.Empty(t, table.advance(leaseDuration-time.Millisecond))
	table.now += 10 * time.Second
	assert.Empty(t, table.Expired(table.now))
	assert.Empty(t, table.advance(leaseDuration))
	assert.Equal(t, []string{"agent-a"}, table.advance(time.Millisecond))
}

func TestTableIsBounded(t *testing.T) {
	table := newPolledTable()
	for i := range 2 * maxLeases {
		table.Grant(table.now, fmt.Sprint("a", i), "core-1")
		table.Observe(table.now, fmt.Sprint("b", i))
	}
	assert.Len(t, table.leases, maxLeases)
	table.Remove(table.now, "a0")
	table.Grant(table.now, "new", "core-1")
	assert.True(t, table.Granted("new"))
}

// Machines that are gone may have granted leases to each other. These do not keep any agent in the fleet, but the
// agents of a machine that has just been lost first have time to get another lease.
func TestUnreachableGrantorsHoldNobody(t *testing.T) {
	const duration = 2 * time.Second
	table := New(duration)
	start := time.Minute
	for holder, grantor := range map[string]string{
		"former-a": "former-b", "former-b": "former-a", "agent": "former-a", "other": "self",
	} {
		table.Grant(start, holder, grantor)
	}
	roots := map[string]bool{"self": true}
	for now := start; now <= start+unreachableRetention*duration; now += duration / 4 {
		table.ObserveRoots(now, roots)
		require.Empty(t, table.Expired(now), "after %v", now-start)
		require.True(t, table.Reachable("other"))
		require.False(t, table.Reachable("agent"))
	}
	now := start + unreachableRetention*duration + duration/4
	table.ObserveRoots(now, roots)
	require.Equal(t, []string{"agent", "former-a", "former-b"}, table.Expired(now))
}

// An agent is also reachable through other machines. After a suspension no agent expires at once.
func TestReachableThroughAnotherMachine(t *testing.T) {
	const duration = 2 * time.Second
	table := New(duration)
	table.Grant(time.Minute, "relay", "self")
	table.Grant(time.Minute, "second relay", "relay")
	table.Grant(time.Minute, "agent", "second relay")
	table.ObserveRoots(time.Minute, map[string]bool{"self": true})
	require.True(t, table.Reachable("agent"))
	table.Revoke(time.Minute, "relay", "self")
	table.Grant(time.Minute, "relay", "agent") // the leases form a cycle
	table.ObserveRoots(time.Minute, map[string]bool{"self": true})
	require.False(t, table.Reachable("agent"))
	require.Empty(t, table.Expired(time.Minute))
	table.ObserveRoots(2*time.Minute, map[string]bool{"self": true})
	require.Empty(t, table.Expired(2*time.Minute), "the process was suspended")
}
