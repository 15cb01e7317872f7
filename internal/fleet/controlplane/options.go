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
	// StateDir is the folder of the state. If it is empty, the state is in memory only.
	StateDir string
	// Disk, if not nil, stores the state in place of a store in StateDir, which must still be set.
	Disk Disk
	// HasDisk is true if the machine's state outlives its process. Otherwise StateDir is ignored.
	HasDisk bool
	// FirstStart is true if the whole fleet starts for the first time, so that a first view must be
	// decided. It must never be set again for a process that took part in that decision.
	FirstStart bool
	// Seeds are the addresses of the processes that decide on the first view. It is called again
	// whenever addresses are needed.
	Seeds func() []string
	// KnownAddresses are further addresses of voters; may be nil.
	KnownAddresses func() []string
	// RelayAddress returns the address of the member of the core that this process, which is none itself, has a
	// session with, if that member has a quorum; empty if there is none. May be nil.
	RelayAddress func() string
	// UnreachedAddresses returns the addresses of processes that may not know any view. The learned view is sent
	// to them. May be nil.
	UnreachedAddresses func() []string
	// Tolerance is the set of losses that the state must survive.
	Tolerance view.Tolerance
	// Counted is true if Tolerance applies to the loss of this machine.
	Counted bool
	// Pool holds the connections to other processes.
	Pool *rpc.Pool
	// Transition makes the next configuration from the current one and an update.
	Transition chain.Transition
	// OnCommit is called with the newest committed value when it has changed, in the order of Seq. Values
	// in between may be skipped. May be nil.
	OnCommit func(chain.Value)
	// OnView is called with the learned view when it has changed, in the order of Number. Views in between
	// may be skipped. May be nil.
	OnView func(view.View)
	// RequestTimeout bounds Read, Confirm and Submit; Submit adds the transfer time of its update. The
	// default is 900 ms.
	RequestTimeout time.Duration
}

// Disk is the durable storage of a Member. It must be safe for concurrent use.
type Disk interface {
	// Get returns the record of a key, and whether there is one.
	Get(key string) ([]byte, bool)
	// Put writes a record, and returns nil once the record would survive a loss of power.
	Put(key string, record []byte) error
	// Probe makes a write that changes no record.
	Probe() error
	// Scrub compares the file with memory and rewrites it if they differ. It reports whether the file was
	// intact.
	Scrub() (intact bool, err error)
	// Health returns the health of the disk without waiting for it.
	Health(now time.Time) store.Health
	Close()
}

// checkAndSetDefaults reports missing options, and sets the defaults of the optional ones.
func (o *Options) checkAndSetDefaults() error {
	if o.Addr == "" || o.Pool == nil || o.Transition == nil || o.Seeds == nil {
		return errors.New("core: Addr, Pool, Transition and Seeds are required")
	}
	if o.RequestTimeout <= 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	if !o.HasDisk {
		o.StateDir = ""
	}
	return nil
}

// repairPolicy returns the policy for planning repairs of a view.
func (o *Options) repairPolicy() view.Policy {
	return view.Policy{
		Tolerance:    o.Tolerance,
		FailAfter:    peerTimeout,
		StableAfter:  stabilizationDelay,
		ReplaceAfter: voterReplacementDelay,
	}
}
