package daemon

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/quota"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// confirmsConfig returns whether this process has to know how fresh its configuration is.
func confirmsConfig(current *settings.Settings) bool {
	return current.HasContract(settings.ContractTenants) || current.HasContract(settings.ContractQuota)
}

// savedQuotasName is the name of the record of the quotas.
const savedQuotasName = "quotas"

// openQuotas assembles what admits requests by the quotas of their tenants, if the contract is active. The
// core must be open.
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
		SelfAddr:   peerAddr(current),
		Core:       assembly.QuotaCore{Member: d.core, Relay: func() *relay.Node { return d.relay }},
		Pool:       d.peerPool,
		FirstStart: current.FirstStart,
	}
	if current.HasDisk() {
		options.SaveRecord = func(record []byte) error { return d.core.SaveRecord(savedQuotasName, record) }
		options.SavedRecord, _ = d.core.LoadRecord(savedQuotasName)
	}
	d.quotaBroker = quota.NewBroker(options)
	d.quotaClient = quota.NewClient(options, d.quotaBroker)
	d.gateway.Quota = d.quotaClient
}

// quotaReport is this process's part in the quotas.
func (d *Daemon) quotaReport() quota.Report {
	if d.quotaBroker == nil {
		return quota.Report{}
	}
	return d.quotaBroker.Report()
}
