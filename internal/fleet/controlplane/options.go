package controlplane

import (
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// Options configure a Member. Addr, Seeds, Pool and Transition are required.
type Options struct {
	// Addr is the HOST:PORT at which other processes call this one.
	Addr   string
	Zone   string
	Region string
	// StateDir is the folder of the state; empty: the state is in memory only.
	StateDir string
	// Disk, if not nil, stores the state instead of a store in StateDir, which is then its name.
	Disk Disk
	// HasDisk tells that the machine's state outlives its process. Without it StateDir is ignored.
	HasDisk bool
	// FirstStart tells that the whole fleet starts for the first time, so that a first view is to be
	// decided. It must never be set again for a process that took part in that.
	FirstStart bool
	// Seeds are the addresses of the processes that decide on the first view. It is called again
	// whenever addresses are needed.
	Seeds func() []string
	// KnownAddresses are further addresses of voters; may be nil.
	KnownAddresses func() []string
	// Unreached returns the addresses of processes that may not know any view, to be told the learned
	// one; may be nil.
	Unreached func() []string
	// Tolerance is the losses that the state has to survive.
	Tolerance view.Tolerance
	// Counted tells that the loss of this machine is one of those to be tolerated.
	Counted bool
	// Pool has the connections to other processes.
	Pool *rpc.Pool
	// Transition makes the next configuration from the current one and an update.
	Transition chain.Transition
	// OnCommit is called with the newest committed values, with rising Seq; may be nil. Values in
	// between may be skipped.
	OnCommit func(chain.Value)
	// OnView is called with newer views, with rising Number; may be nil. Views in between may be
	// skipped.
	OnView func(view.View)
	// RequestTimeout bounds Submit, beside the time that its update may take on its way, and Read; 0: 900 ms.
	RequestTimeout time.Duration
}

// Disk is the durable storage of a Member. It must be safe for concurrent use.
type Disk interface {
	// Get returns the record of a key, and whether there is one.
	Get(key string) ([]byte, bool)
	// Put returns nil once the record outlives a loss of power.
	Put(key string, record []byte) error
	// Probe makes a write that changes no record.
	Probe() error
	// Scrub compares the file with memory and rewrites it where they differ; it reports whether the
	// file was intact.
	Scrub() (intact bool, err error)
	// Health returns without waiting for the disk.
	Health(now time.Time) store.Health
	Close()
}

// checkAndSetDefaults reports missing options, and completes the optional ones.
func (o *Options) checkAndSetDefaults() error {
	if o.Addr == "" || o.Pool == nil || o.Transition == nil || o.Seeds == nil {
		return errors.New("core: Addr, Pool, Transition and Seeds are needed")
	}
	if o.RequestTimeout <= 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	if !o.HasDisk {
		o.StateDir = ""
	}
	return nil
}

// repairPolicy is the policy by which repairs of a view are planned.
func (o *Options) repairPolicy() view.Policy {
	return view.Policy{
		Tolerance:    o.Tolerance,
		FailAfter:    peerTimeout,
		StableAfter:  stabilizationDelay,
		ReplaceAfter: voterReplacementDelay,
	}
}
