package controlplane

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// tableOf returns the peer table of a member, with entries for the voters of a view.
func tableOf(selfID string, current *view.View) peerTable {
	table := newPeerTable(selfID)
	table.addVoters(current, start, start)
	return table
}

func TestPeerSinceContact(t *testing.T) {
	t.Parallel()
	now := start.Add(10 * time.Second)
	for _, test := range []struct {
		name        string
		lastContact time.Time
		resumedAt   time.Time
		want        time.Duration
	}{
		{"never in contact", time.Time{}, time.Time{}, 10 * time.Second},
		{"in contact before", start.Add(7 * time.Second), time.Time{}, 3 * time.Second},
		{"resumed since", start.Add(7 * time.Second), start.Add(9 * time.Second), time.Second},
		{"in contact later than now", now.Add(time.Second), time.Time{}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			peer := peerState{knownSince: start, lastContact: test.lastContact}
			require.Equal(t, test.want, peer.sinceContact(test.resumedAt, now))
		})
	}
}

func TestPeerContactSince(t *testing.T) {
	t.Parallel()
	peer := peerState{knownSince: start}
	first := start.Add(time.Second)
	peer.contacted(first, start, first)
	require.Equal(t, first, peer.contactSince)
	second := first.Add(peerTimeout)
	peer.contacted(second, start, second)
	require.Equal(t, first, peer.contactSince, "no interruption")
	third := second.Add(peerTimeout + 1)
	peer.contacted(third, start, third)
	require.Equal(t, third, peer.contactSince, "an interruption")
	resumedAt := third.Add(1)
	fourth := third.Add(2)
	peer.contacted(fourth, resumedAt, fourth)
	require.Equal(t, fourth, peer.contactSince, "this process was paused")
}

func TestPeerProcessEnded(t *testing.T) {
	t.Parallel()
	peer := peerState{knownSince: start}
	peer.refused(start)
	require.False(t, peer.processEnded(start.Add(time.Hour)), "it was never in contact")
	peer.contacted(start, start, start)
	peer.refused(start)
	peer.refused(start.Add(refusalConfirmation / 2))
	require.False(t, peer.processEnded(start.Add(refusalConfirmation-1)))
	require.True(t, peer.processEnded(start.Add(refusalConfirmation)), "the first refusal counts")
	peer.contacted(start.Add(1), start, start.Add(1))
	require.False(t, peer.processEnded(start.Add(time.Hour)), "it is in contact again")
}

func TestPeerPushUnreachable(t *testing.T) {
	t.Parallel()
	peer := peerState{knownSince: start}
	peer.pushed(start, start.Add(time.Millisecond), false)
	require.False(t, peer.pushUnreachable(start.Add(contactTimeout-1)))
	require.True(t, peer.pushUnreachable(start.Add(contactTimeout)))
	require.False(t, peer.pushUnreachable(start.Add(time.Millisecond+voterReplacementDelay)), "the failure is long ago")
	peer.pushed(start.Add(time.Second), start.Add(time.Second), false)
	require.True(t, peer.pushUnreachable(start.Add(time.Second)), "the first failure counts")
	peer.pushed(start, start.Add(2*time.Second), true)
	require.False(t, peer.pushUnreachable(start.Add(2*time.Second)))
}

// Pushes that failed while a peer was away don't count once it is back.
func TestFailedPushesEndWithAnInterruption(t *testing.T) {
	t.Parallel()
	failedAt := start.Add(contactTimeout)
	for _, test := range []struct {
		name      string
		refused   bool
		contactAt time.Time
		want      bool
	}{
		{"the contact was not interrupted", false, failedAt.Add(1), true},
		{"its process had ended", true, failedAt.Add(1), false},
		{"the contact was lost", false, start.Add(peerTimeout + 1), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			peer := peerState{knownSince: start}
			peer.contacted(start, start, start)
			peer.pushed(start, failedAt, false)
			if test.refused {
				peer.refused(failedAt)
			}
			peer.contacted(test.contactAt, start, test.contactAt)
			require.Equal(t, test.want, peer.pushUnreachable(test.contactAt))
		})
	}
}

// A removed voter counts as having missed its removal until it reports the view that removed it or a later one.
func TestRemovedVoterMissesItsRemoval(t *testing.T) {
	t.Parallel()
	former, current := testView(4, "a", "b", "c"), testView(5, "a", "c")
	table := tableOf("a", &former)
	table.byID["b"].lastHeartbeat.View = former.Number
	table.votersChanged(&former, &current, start, start)
	missed := func(id string) bool { return table.byID[id].health(&current, start, start).MissedRemoval }
	require.True(t, missed("b"))
	require.False(t, missed("c"), "it remains a voter")
	table.byID["b"].lastHeartbeat.View = current.Number
	require.False(t, missed("b"))
}

func TestPeerTableQuorum(t *testing.T) {
	t.Parallel()
	current := testView(2, "a", "b", "c", "d")
	now := start.Add(time.Second)
	for _, test := range []struct {
		name      string
		self      string
		inContact []string
		want      bool
	}{
		{"alone", "a", nil, false},
		{"half of the voters", "a", []string{"b"}, false},
		{"a majority", "a", []string{"b", "d"}, true},
		{"a majority of other voters", "x", []string{"a", "b", "c", "d"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			table := tableOf(test.self, &current)
			for _, id := range test.inContact {
				table.byID[id].contacted(now, start, now)
			}
			require.Equal(t, test.want, table.hasQuorum(&current, now))
			require.False(t, table.hasQuorum(&current, now.Add(contactTimeout)), "the contact is too old")
		})
	}
}

func TestPeerTableReachable(t *testing.T) {
	t.Parallel()
	current := testView(2, "a", "b", "c", "d")
	table := tableOf("a", &current)
	now := start.Add(time.Second)
	table.byID["b"].contacted(now, start, now)
	table.byID["c"].contacted(now, start, now)
	table.byID["c"].pushed(start, now, false)
	require.Equal(t, []string{"b"}, table.reachable(&current, now), "c can't be pushed to, d is not in contact")
}

func TestPeerTableIsBounded(t *testing.T) {
	t.Parallel()
	current := testView(2, "a", "b")
	table := tableOf("a", &current)
	require.Nil(t, table.entry(current.Voters[0], &current, start, start), "no entry for itself")
	joining := func(i int) view.Peer { return testPeers(fmt.Sprintf("joining-%02d", i))[0] }
	for i := range maxPeers - 1 {
		require.NotNil(t, table.entry(joining(i), &current, start, start))
	}
	require.Nil(t, table.entry(joining(maxPeers), &current, start, start), "the table is full")
	require.NotNil(t, table.entry(joining(0), &current, start, start), "the peer already has an entry")
	later := start.Add(peerTimeout + 1)
	require.NotNil(t, table.entry(joining(maxPeers), &current, start, later), "peers that timed out are evicted")
	require.Contains(t, table.byID, "b", "a voter is not evicted")
	require.Len(t, table.byID, 2)
}

func TestPeerTableCountChecksums(t *testing.T) {
	t.Parallel()
	current := testView(2, "a", "b", "c", "d", "e")
	table := tableOf("a", &current)
	for id, received := range map[string]heartbeat{
		"b": {CommittedSeq: 7, CommittedChecksum: 1}, "c": {CommittedSeq: 7, CommittedChecksum: 2}, "d": {CommittedSeq: 6, CommittedChecksum: 2}, "e": {CommittedSeq: 7, CommittedChecksum: 2},
	} {
		table.byID[id].lastHeartbeat = received
		if id != "e" {
			table.byID[id].contacted(start, start, start)
		}
	}
	withFirst, withSecond := table.countChecksums(&current, 7, 1, 2, start)
	require.Equal(t, 1, withFirst)
	require.Equal(t, 1, withSecond, "d has another sequence number, e is not in contact")
}

func TestPeerHealth(t *testing.T) {
	t.Parallel()
	current := testView(4, "a", "b")
	contact := start.Add(time.Second)
	now := contact.Add(stabilizationDelay)
	peer := peerState{knownSince: start, lastHeartbeat: heartbeat{
		Peer: current.Voters[1], View: 4, Accepted: 5, Abandoned: true, DiskUnhealthy: true, Leaving: true, ConnectedTo: []string{"a"}, UptimeMs: 1500,
	}}
	peer.contacted(contact, start, contact)
	want := view.Health{
		Peer: current.Voters[1], SinceContact: stabilizationDelay, StableFor: stabilizationDelay, DiskUnhealthy: true, Leaving: true,
		Complete: true, ConnectedTo: []string{"a"}, Uptime: 1500 * time.Millisecond, Undecided: true,
	}
	require.Equal(t, want, peer.health(&current, start, now))

	require.Zero(t, peer.health(&current, contact.Add(1), now).StableFor, "contacts from before a pause don't count")
	peer.lastHeartbeat.Accepted = 4
	require.False(t, peer.health(&current, start, now).Undecided, "the view that it accepted is decided")
	peer.refused(contact)
	ended := peer.health(&current, start, now)
	require.Equal(t, peerTimeout, ended.SinceContact, "its process has ended")
	require.Zero(t, ended.StableFor)
}

func TestPauseDetector(t *testing.T) {
	t.Parallel()
	detector := newPauseDetector(start)
	first := start.Add(heartbeatInterval + pauseThreshold)
	detector.tick(first, heartbeatInterval)
	require.Equal(t, start, detector.resumedAt, "the tick is a little late")
	second := first.Add(heartbeatInterval + pauseThreshold + 1)
	detector.tick(second, heartbeatInterval)
	require.Equal(t, second, detector.resumedAt)
	third := second.Add(idleTickInterval)
	detector.tick(third, idleTickInterval)
	require.Equal(t, second, detector.resumedAt, "the tick was due after a longer interval")
}

func TestHeartbeatContactTime(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		ageMs int64
		want  time.Time
	}{
		{"never", -1, time.Time{}},
		{"now", 0, start},
		{"before", 250, start.Add(-250 * time.Millisecond)},
		{"too long ago", maxContactAge.Milliseconds(), time.Time{}},
	} {
		received := heartbeat{ContactAgeMs: test.ageMs}
		require.Equal(t, test.want, received.contactTime(start), test.name)
	}
}
