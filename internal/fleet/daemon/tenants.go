package daemon

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/quota"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

const (
	// confirmationsPerConverge is how many confirmations of the configuration there are in the time after
	// which an acknowledged one has to be in force. An agent learns the result of a confirmation at most two
	// heartbeats of its session later, so that there is always one that is recent enough.
	confirmationsPerConverge = 4
	// maxConfirmInterval is the longest time between two confirmations.
	maxConfirmInterval = 750 * time.Millisecond
)

// awaitsConfirmation reports whether requests wait until the configuration of a new process is confirmed, which
// the contracts on tenants and on quotas require.
func awaitsConfirmation(nodeSettings *settings.Settings) bool {
	return nodeSettings.HasContract(settings.ContractTenants) || nodeSettings.HasContract(settings.ContractQuota)
}

// confirmInterval returns the time between two confirmations of the configuration. Where requests do not wait
// for confirmations, these only have to be recent enough for the denial of requests.
func confirmInterval(nodeSettings *settings.Settings) time.Duration {
	if awaitsConfirmation(nodeSettings) {
		return relay.DefaultConfirmInterval
	}
	converge := time.Duration(nodeSettings.Bounds.ConvergeMs) * time.Millisecond
	return min(max(converge/confirmationsPerConverge, relay.DefaultConfirmInterval), maxConfirmInterval)
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
