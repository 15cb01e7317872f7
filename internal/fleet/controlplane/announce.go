package controlplane

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// maxAnnouncements bounds the announcements of the view that are under way at once.
	maxAnnouncements = 16
	// minAnnouncementDelay is the time between the first two announcements to an address. The delay doubles
	// with each announcement, up to maxAnnouncementDelay if the sender is a voter, and up to
	// maxClientAnnouncementDelay if it is another process, of which there are many.
	minAnnouncementDelay       = 200 * time.Millisecond
	maxAnnouncementDelay       = 2 * time.Second
	maxClientAnnouncementDelay = 8 * time.Second
)

// announcement is the state of the announcements to one address.
type announcement struct {
	inFlight bool
	next     time.Time     // the earliest time of the next announcement
	delay    time.Duration // the delay after the next announcement
}

// announcer decides when the view is announced to which addresses. Processes that ask for the view get it
// in the response; announcements are for those that know no process to ask.
type announcer struct {
	byAddress map[string]*announcement
	inFlight  int
}

func newAnnouncer() announcer { return announcer{byAddress: map[string]*announcement{}} }

// due returns the addresses to announce the view to now, the longest due first, and records that these
// announcements are under way. Addresses that are no longer given are forgotten.
func (a *announcer) due(addresses []string, maxDelay time.Duration, now time.Time) []string {
	a.retain(addresses)
	var candidates []string
	for _, address := range addresses {
		entry := a.byAddress[address]
		if entry == nil {
			entry = &announcement{next: now, delay: minAnnouncementDelay}
			a.byAddress[address] = entry
		}
		if !entry.inFlight && !now.Before(entry.next) {
			candidates = append(candidates, address)
		}
	}
	slices.SortStableFunc(candidates, func(x, y string) int {
		return a.byAddress[x].next.Compare(a.byAddress[y].next)
	})
	candidates = candidates[:min(len(candidates), max(0, maxAnnouncements-a.inFlight))]
	for _, address := range candidates {
		entry := a.byAddress[address]
		entry.inFlight, entry.next = true, now.Add(entry.delay)
		entry.delay = min(cmp.Or(2*entry.delay, minAnnouncementDelay), maxDelay)
		a.inFlight++
	}
	return candidates
}

// retain forgets the addresses that are not among the given ones, unless an announcement to them is under
// way.
func (a *announcer) retain(addresses []string) {
	for address, entry := range a.byAddress {
		if !entry.inFlight && !slices.Contains(addresses, address) {
			delete(a.byAddress, address)
		}
	}
}

// done records that the announcement to an address has ended.
func (a *announcer) done(address string) {
	a.byAddress[address].inFlight = false
	a.inFlight--
}

// informUnreached sends the learned view to processes that may not know any view: see Options.UnreachedAddresses.
func (m *Member) informUnreached() {
	if m.options.UnreachedAddresses == nil {
		return
	}
	addresses := m.options.UnreachedAddresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	learned := m.views.learned
	if learned.Number == 0 {
		return
	}
	maxDelay := maxClientAnnouncementDelay
	if m.views.isVoter(m.self.ID) {
		maxDelay = maxAnnouncementDelay
	}
	for _, address := range m.announcer.due(addresses, maxDelay, time.Now()) {
		m.spawnLocked(func(ctx context.Context) { m.inform(ctx, address, &learned) })
	}
}

// inform sends a view to the process at an address. If the call fails, a later announcement repeats it.
func (m *Member) inform(ctx context.Context, address string, learned *view.View) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = call[view.View, empty](ctx, m, address, callLearn, learned)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announcer.done(address)
}
