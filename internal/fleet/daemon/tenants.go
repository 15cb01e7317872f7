package daemon

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/quota"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// confirmsConfig reports whether this process has to know how fresh its configuration is: the contracts
// on tenants and on quotas require it.
func confirmsConfig(nodeSettings *settings.Settings) bool {
	return nodeSettings.HasContract(settings.ContractTenants) || nodeSettings.HasContract(settings.ContractQuota)
}

// savedQuotasName is the name of the record with the saved state of the quotas.
const savedQuotasName = "quotas"

// openQuotas creates the broker and the client that admit requests according to the quotas of their
// tenants, if the contract on quotas is active. d.core must be set.
func (d *Daemon) openQuotas(nodeSettings *settings.Settings) {
	if !nodeSettings.HasContract(settings.ContractQuota) {
		return
	}
	bounds := &nodeSettings.Bounds
	options := quota.Options{
		Bounds: quota.Bounds{
			Window:    time.Duration(bounds.QuotaWindowS * float64(time.Second)),
			Overshoot: bounds.QuotaOvershoot,
			Slack:     bounds.QuotaSlack,
		},
		SelfAddr:   peerAddr(nodeSettings),
		Core:       assembly.QuotaCore{Member: d.core, Relay: func() *relay.Node { return d.relay }},
		Pool:       d.peerPool,
		FirstStart: nodeSettings.FirstStart,
	}
	if nodeSettings.HasDisk() {
		options.SaveRecord = func(record []byte) error { return d.core.SaveRecord(savedQuotasName, record) }
		options.SavedRecord, _ = d.core.LoadRecord(savedQuotasName)
	}
	d.quotaBroker = quota.NewBroker(options)
	d.quotaClient = quota.NewClient(options, d.quotaBroker)
	d.gateway.Quota = d.quotaClient
}

// quotaReport returns the state of this process's quota broker. It is empty if there is none.
func (d *Daemon) quotaReport() quota.Report {
	if d.quotaBroker == nil {
		return quota.Report{}
	}
	return d.quotaBroker.Report()
}
