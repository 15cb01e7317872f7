package controlplane

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

// diskMonitor decides when the disk is probed and scrubbed. At most one of these checks is under way.
type diskMonitor struct {
	// idPersisted is true if the member's ID is on disk. Until then the member does not ask to become a
	// voter.
	idPersisted bool
	busy        bool      // a check is under way
	lastProbe   time.Time // when the last probe started
	lastScrub   time.Time // when the last scrub started
}

// diskCheck is a check of the disk that is due.
type diskCheck uint8

const (
	noDiskCheck diskCheck = iota
	probeDisk             // tests whether a disk that fails, or had no write since the start, takes a write
	scrubDisk             // compares the file with memory
)

// String returns the name of the check.
func (c diskCheck) String() string {
	switch c {
	case probeDisk:
		return "probe"
	case scrubDisk:
		return "scrub"
	default:
		return "none"
	}
}

// begin returns the check that is due and records its start. Without a file there is nothing to scrub.
func (d *diskMonitor) begin(health store.Health, hasFile bool, now time.Time) diskCheck {
	if d.busy || health.OldestPending > 0 {
		return noDiskCheck
	}
	switch {
	case (health.FailingFor > 0 || !health.Written) && now.Sub(d.lastProbe) >= diskProbeInterval:
		d.busy, d.lastProbe = true, now
		return probeDisk
	case hasFile && now.Sub(d.lastScrub) >= diskScrubInterval:
		d.busy, d.lastScrub = true, now
		return scrubDisk
	}
	return noDiskCheck
}

// checkDiskLocked starts the disk check that is due, if any.
func (m *Member) checkDiskLocked(now time.Time) {
	switch m.diskMonitor.begin(m.disk.Health(now), m.options.StateDir != "", now) {
	case probeDisk:
		m.spawnLocked(m.probe)
	case scrubDisk:
		m.spawnLocked(m.scrub)
	}
}

// probe probes the disk by a write: of the member's ID if it is not on disk yet, or else of no record.
func (m *Member) probe(context.Context) {
	m.mu.Lock()
	idPersisted := m.diskMonitor.idPersisted
	m.mu.Unlock()
	var err error
	if idPersisted {
		err = m.disk.Probe()
	} else {
		err = m.disk.Put(keyID, []byte(m.self.ID))
	}
	m.mu.Lock()
	m.diskMonitor.busy = false
	m.diskMonitor.idPersisted = idPersisted || err == nil
	m.mu.Unlock()
	if err != nil {
		logevent.DiskWriteFailed.Error(err)
	}
}

// scrub compares the file with memory, and logs if the file was rewritten or the scrub failed.
func (m *Member) scrub(context.Context) {
	intact, err := m.disk.Scrub()
	m.mu.Lock()
	m.diskMonitor.busy = false
	m.mu.Unlock()
	if !intact || err != nil {
		logevent.StateFileRewritten.Error(err)
	}
}

// diskUnhealthyLocked reports whether the disk fails or stalls. The disk of a member outside the chain also
// counts as unhealthy until a write has succeeded since the start.
func (m *Member) diskUnhealthyLocked(now time.Time) bool {
	health := m.disk.Health(now)
	if health.OldestPending > diskStallLimit || health.FailingFor > 0 {
		return true
	}
	return !health.Written && m.views.learned.Position(m.self.ID) < 0
}
