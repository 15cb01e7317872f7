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
	// minAnnouncementDelay is the pause before an address is told the view again; it doubles up to
	// maxAnnouncementDelay at a voter, and maxClientAnnouncementDelay at other processes, of which there
	// are many.
	minAnnouncementDelay       = 200 * time.Millisecond
	maxAnnouncementDelay       = 2 * time.Second
	maxClientAnnouncementDelay = 8 * time.Second
)

// announcement is the state of the announcements to one address.
type announcement struct {
	inFlight bool
	next     time.Time     // when the address may be told again
	delay    time.Duration // the pause after the announcement that is due next
}

// announcer decides when the view is announced to whom. Processes that ask for the view are answered
// anyway; announcements are for those that know nobody who could answer.
type announcer struct {
	byAddress map[string]*announcement
	inFlight  int
}

func newAnnouncer() announcer { return announcer{byAddress: map[string]*announcement{}} }

// due returns which of the addresses to tell the view now, those first that were due first, and
// notes that they are being told. Addresses that are not given any more are forgotten.
func (a *announcer) due(addresses []string, maxDelay time.Duration, now time.Time) []string {
	a.retain(addresses)
	var candidates []string
	for _, address := range addresses {
		known := a.byAddress[address]
		if known == nil {
			known = &announcement{next: now, delay: minAnnouncementDelay}
			a.byAddress[address] = known
		}
		if !known.inFlight && !now.Before(known.next) {
			candidates = append(candidates, address)
		}
	}
	slices.SortStableFunc(candidates, func(x, y string) int {
		return a.byAddress[x].next.Compare(a.byAddress[y].next)
	})
	candidates = candidates[:min(len(candidates), max(0, maxAnnouncements-a.inFlight))]
	for _, address := range candidates {
		told := a.byAddress[address]
		told.inFlight, told.next = true, now.Add(told.delay)
		told.delay = min(cmp.Or(2*told.delay, minAnnouncementDelay), maxDelay)
		a.inFlight++
	}
	return candidates
}

// retain forgets the addresses that are not among the given ones, unless they are just being told.
func (a *announcer) retain(addresses []string) {
	for address, known := range a.byAddress {
		if !known.inFlight && !slices.Contains(addresses, address) {
			delete(a.byAddress, address)
		}
	}
}

// done notes that an announcement has ended.
func (a *announcer) done(address string) {
	a.byAddress[address].inFlight = false
	a.inFlight--
}

// informUnreached tells the learned view to processes that may not know of it: see Options.Unreached.
func (m *Member) informUnreached() {
	if m.options.Unreached == nil {
		return
	}
	addresses := m.options.Unreached()
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

// inform tells a view to the process at an address. A later announcement follows if that fails.
func (m *Member) inform(ctx context.Context, address string, learned *view.View) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = call[view.View, empty](ctx, m, address, callLearn, learned)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announcer.done(address)
}
