package controlplane

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An address is told again after a pause that doubles up to a limit, and not while it is being told.
func TestAnnouncementsBackOff(t *testing.T) {
	start := time.Unix(1000, 0)
	addresses := []string{"a"}
	announcer := newAnnouncer()
	var at []time.Duration
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(minAnnouncementDelay / 2) {
		if due := announcer.due(addresses, maxAnnouncementDelay, now); len(due) > 0 {
			require.Equal(t, addresses, due)
			require.Empty(t, announcer.due(addresses, maxAnnouncementDelay, now.Add(time.Hour)), "it is being told")
			announcer.done("a")
			at = append(at, now.Sub(start))
		}
	}
	require.Equal(t, []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second,
		5 * time.Second, 7 * time.Second, 9 * time.Second}, at)
}

// Of many addresses all get their turn, however few are told at once.
func TestAnnouncementsAreBoundedAndFair(t *testing.T) {
	now := time.Unix(1000, 0)
	addresses := make([]string, 5*maxAnnouncements)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.0.0.%d:7300", i)
	}
	announcer := newAnnouncer()
	told := map[string]int{}
	for range 5 {
		due := announcer.due(addresses, maxAnnouncementDelay, now)
		require.Len(t, due, maxAnnouncements)
		assert.Empty(t, announcer.due(addresses, maxAnnouncementDelay, now), "as many as may be are under way")
		for _, address := range due {
			told[address]++
			announcer.done(address)
		}
		now = now.Add(2 * minAnnouncementDelay)
	}
	assert.Len(t, told, len(addresses))
}

// An address that is reached is forgotten. If it is lost again it is told at once.
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

// After a restart of everything a process without a disk whose seeds know nothing is told the view.
func TestViewIsToldToAProcessThatKnowsNobody(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 3, 1)
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
