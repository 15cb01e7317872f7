package daemon

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/quota"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// maxConfirmedAge is how long ago a member of the core must have been confirmed by a majority to admit
// requests by its share of the quotas: a member that was replaced while it is cut off learns it no other
// way.
const maxConfirmedAge = 3 * time.Second

// confirmsConfig returns whether this process has to know how fresh its configuration is.
func confirmsConfig(current *settings.Settings) bool {
	return current.HasContract(settings.ContractTenants) || current.HasContract(settings.ContractQuota)
}

// openQuotas assembles what admits requests by the quotas of their tenants, if the contract is active.
func (d *Daemon) openQuotas(current *settings.Settings) {
	if !current.HasContract(settings.ContractQuota) {
		return
	}
	bounds := &current.Bounds
	options := quota.Options{
		Bounds: quota.Bounds{
			Window:    time.Duration(bounds.QuotaWindowS * float64(time.Second)),
			Overshoot: bounds.QuotaOvershoot,
			Slack:     bounds.QuotaSlack,
		},
		SelfAddr: peerAddr(current),
		Core:     quotaCore{d},
		Pool:     d.peerPool,
	}
	d.quotaBroker = quota.NewBroker(options)
	d.gateway.Quota = quota.NewClient(options, d.quotaBroker)
}

// quotaReport is this process's part in the quotas.
func (d *Daemon) quotaReport() quota.Report {
	if d.quotaBroker == nil {
		return quota.Report{}
	}
	return d.quotaBroker.Report()
}

// quotaCore is the core as quotas see it.
type quotaCore struct{ daemon *Daemon }

// IsMember implements quota.Core.
func (c quotaCore) IsMember() bool { return c.daemon.core.IsVoter() }

// Confirmed implements quota.Core.
func (c quotaCore) Confirmed() bool {
	return time.Since(c.daemon.relay.ConfigFreshAsOf()) <= maxConfirmedAge
}

// HolderAddrs implements quota.Core.
func (c quotaCore) HolderAddrs() []string { return c.daemon.relay.QuotaHolders() }

// PublishDeputy implements quota.Core.
func (c quotaCore) PublishDeputy(deputy bool) { c.daemon.relay.PublishQuotaDeputy(deputy) }

// MemberAddrs implements quota.Core.
func (c quotaCore) MemberAddrs() []string { return c.daemon.relay.PreferredMembers() }
