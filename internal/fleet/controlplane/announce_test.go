package controlplane

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Announcements to one address are repeated after a delay that doubles up to a limit. At most one is under
// way at a time.
func TestAnnouncementsBackOff(t *testing.T) {
	start := time.Unix(1000, 0)
	addresses := []string{"a"}
	announcer := newAnnouncer()
	var at []time.Duration
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(minAnnouncementDelay / 2) {
		if due := announcer.due(addresses, maxAnnouncementDelay, now); len(due) > 0 {
			require.Equal(t, addresses, due)
			require.Empty(t, announcer.due(addresses, maxAnnouncementDelay, now.Add(time.Hour)), "one is under way")
			announcer.done("a")
			at = append(at, now.Sub(start))
		}
	}
	require.Equal(t, []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second,
		5 * time.Second, 7 * time.Second, 9 * time.Second}, at)
}

// Every one of many addresses gets an announcement, although few of them are announced to at once.
func TestAnnouncementsAreBoundedAndFair(t *testing.T) {
	now := time.Unix(1000, 0)
	addresses := make([]string, 5*maxAnnouncements)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.0.0.%d:7300", i)
	}
	announcer := newAnnouncer()
	announcements := map[string]int{}
	for range 5 {
		due := announcer.due(addresses, maxAnnouncementDelay, now)
		require.Len(t, due, maxAnnouncements)
		assert.Empty(t, announcer.due(addresses, maxAnnouncementDelay, now), "the limit is reached")
		for _, address := range due {
			announcements[address]++
			announcer.done(address)
		}
		now = now.Add(2 * minAnnouncementDelay)
	}
	assert.Len(t, announcements, len(addresses))
}

// The announcer forgets an address that is no longer unreached. If it is unreached again, an announcement is due at
// once.
func TestReachedAddressesAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	announcer := newAnnouncer()
	require.Equal(t, []string{"a"}, announcer.due([]string{"a"}, maxAnnouncementDelay, now))
	require.Empty(t, announcer.due(nil, maxAnnouncementDelay, now))
	announcer.done("a")
	require.Empty(t, announcer.due(nil, maxAnnouncementDelay, now))
	require.Empty(t, announcer.byAddress)
	require.Equal(t, []string{"a"}, announcer.due([]string{"a"}, maxAnnouncementDelay, now))
}

// After a restart of the whole cluster, the view is announced to a diskless process that has no other process to ask.
func TestViewIsToldToAProcessThatKnowsNobody(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 3, 1)
	client.submitInTime(1, 2)
	diskless := cluster.nodes[3]
	for _, node := range cluster.nodes {
		node.kill()
	}
	cluster.seeds, cluster.unreached = []string{diskless.addr}, []string{diskless.addr}
	cluster.startAll(false)
	diskless.waitUntil("it knows the view", diskless.knowsView)
	require.Equal(t, int64(2), client.read().Revision)
}
