package assembly

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

const (
	// configReadTimeout bounds one attempt to learn the newest configuration, and configReadRetryInterval
	// is the pause before the next: it is short, as an attempt takes most of its time where the core is
	// not ready.
	configReadTimeout       = time.Second
	configReadRetryInterval = 50 * time.Millisecond
	// membershipPollInterval is how often a process that is no member of the core looks whether it is one.
	membershipPollInterval = 200 * time.Millisecond
)

// ConfigSource is the core, as far as the configuration is concerned; *controlplane.Member implements it.
type ConfigSource interface {
	IsVoter() bool
	// Confirm returns the sequence number of the newest acknowledged configuration, and Read itself.
	Confirm(ctx context.Context) (seq uint64, err error)
	Read(ctx context.Context) (chain.Value, error)
}

// ConfigHolder has the configuration in force; *relay.Node implements it.
type ConfigHolder interface {
	ConfigSeq() uint64
	ApplyConfig(seq uint64, raw []byte)
	// MarkConfigCurrent records that the configuration is not older than the core's.
	MarkConfigCurrent()
}

// LoadNewestConfig makes sure that a member of the core has the newest configuration, with retries until ctx ends.
// Until then its relay does not rely on the one that it has. Only members do this, as other agents get it from a
// relay, and none transfers a configuration that it has already: after a loss of all power the tail of the chain
// would have to send it to every machine, and everything else would wait on its link.
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

// loadNewestConfig makes one attempt, and reports whether the configuration is now the newest.
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
