package controlplane

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

// diskMonitor decides when the disk is probed and scrubbed. At most one of both is under way.
type diskMonitor struct {
	// idPersisted tells that the member's ID is on disk. Until then it does not ask to become a voter.
	idPersisted bool
	busy        bool
	lastProbe   time.Time
	lastScrub   time.Time
}

// diskCheck is a check of the disk that is due.
type diskCheck uint8

const (
	noDiskCheck diskCheck = iota
	probeDisk             // an unhealthy disk, or one that was not written to since the start
	scrubDisk             // a healthy one
)

// String is the check's name.
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

// begin starts the check that is due. Without a file there is nothing to scrub.
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

// checkDiskLocked starts the check of the disk that is due.
func (m *Member) checkDiskLocked(now time.Time) {
	switch m.diskMonitor.begin(m.disk.Health(now), m.options.StateDir != "", now) {
	case probeDisk:
		m.spawnLocked(m.probe)
	case scrubDisk:
		m.spawnLocked(m.scrub)
	}
}

// probe writes to the disk: the member's ID, if it is not there yet.
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

// scrub compares the file with memory.
func (m *Member) scrub(context.Context) {
	intact, err := m.disk.Scrub()
	m.mu.Lock()
	m.diskMonitor.busy = false
	m.mu.Unlock()
	if !intact || err != nil {
		logevent.StateFileRewritten.Error(err)
	}
}

// diskUnhealthyLocked reports whether the disk fails or stalls. Outside of the chain a disk also has to
// have taken a write since the start.
func (m *Member) diskUnhealthyLocked(now time.Time) bool {
	health := m.disk.Health(now)
	if health.OldestPending > diskStallLimit || health.FailingFor > 0 {
		return true
	}
	return !health.Written && m.views.learned.Position(m.self.ID) < 0
}
