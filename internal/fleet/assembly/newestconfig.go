package assembly

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

const (
	// configReadTimeout bounds one attempt to load the newest configuration. configReadRetryInterval is the
	// pause before the next attempt. It is short, as an attempt uses most of its timeout while the core is not
	// ready.
	configReadTimeout       = time.Second
	configReadRetryInterval = 50 * time.Millisecond
	// membershipPollInterval is the interval at which a process outside the core checks whether it has become
	// a member.
	membershipPollInterval = 200 * time.Millisecond
)

// ConfigSource provides the configurations that the core has acknowledged. *controlplane.Member implements it.
type ConfigSource interface {
	// IsVoter reports whether this process is a member of the core.
	IsVoter() bool
	// Confirm returns the sequence number of the newest acknowledged configuration, or 0 if there is none.
	Confirm(ctx context.Context) (seq uint64, err error)
	// Read returns the newest acknowledged configuration. Its Seq is 0 if there is none.
	Read(ctx context.Context) (chain.Value, error)
}

// ConfigHolder holds the configuration in force in this process. *relay.Node implements it.
type ConfigHolder interface {
	// ConfigSeq returns the sequence number of the configuration in force, or 0 if there is none.
	ConfigSeq() uint64
	// ApplyConfig replaces the configuration in force unless it is newer than raw.
	ApplyConfig(seq uint64, raw []byte)
	// MarkConfigCurrent records that the configuration in force is not older than the core's.
	MarkConfigCurrent()
}

// LoadNewestConfig makes sure that a member of the core has the newest configuration. It retries until it
// succeeds or ctx ends. Before it succeeds, the member's relay does not rely on the configuration that it has.
//
// A process outside the core gets the configuration from a relay, so LoadNewestConfig waits until the process is
// a member. A configuration that the process already has is not transferred again: after a power loss of all
// machines the tail of the chain would have to send it to every machine, and all other messages would wait for
// its link.
func LoadNewestConfig(ctx context.Context, core ConfigSource, holder ConfigHolder) {
	for ctx.Err() == nil {
		pause := membershipPollInterval
		if core.IsVoter() {
			if loadNewestConfig(ctx, core, holder) {
				return
			}
			pause = configReadRetryInterval
		}
		retry := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-retry.C:
		}
		retry.Stop()
	}
}

// loadNewestConfig makes one attempt to load the newest configuration, and reports whether it succeeded.
func loadNewestConfig(ctx context.Context, core ConfigSource, holder ConfigHolder) bool {
	ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	seq, err := core.Confirm(ctx)
	if err != nil {
		return false
	}
	if holder.ConfigSeq() < seq {
		newest, err := core.Read(ctx)
		if err != nil {
			return false
		}
		holder.ApplyConfig(newest.Seq, newest.Body)
	}
	holder.MarkConfigCurrent()
	return true
}
