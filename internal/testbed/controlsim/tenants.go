package controlsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/gateway"
	"chalkdoor.example/chalkdoor/internal/fleet/quota"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// keyEpoch is the number of revisions in which the tenants get no new key. A key is valid for two epochs.
	keyEpoch = 24
	// revokeTime is from when on a revoked key has to be refused, after the acknowledgement of its removal.
	revokeTime = 5 * time.Second
	// tenantRate and tenantBurst are the quota of each tenant.
	tenantRate, tenantBurst = 200, 100
	// meanTokens is the mean size of a request, in tokens.
	meanTokens = 10
	// savedQuotasKey is the disk record of the quotas.
	savedQuotasKey = "quotas"
	// tenantRequestTimeout bounds a request of a tenant.
	tenantRequestTimeout = 600 * time.Millisecond
)

// quotaBounds bound what all processes together admit of a tenant.
var quotaBounds = quota.Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 60}

// withinQuota is the load up to which no request of a tenant may be rejected while the core is stable: the share of
// a member that was lost is missing for two windows of the quota, and its deputy's with it.
const withinQuota = 0.25

// tenantLoads are the loads of tenants as multiples of their rates, by index modulo their number.
var tenantLoads = []float64{withinQuota, 4, 0.9}

// tenant is a tenant of a configuration.
type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api-keys"`
	RatePerS float64  `json:"rate-per-s"`
	Burst    float64  `json:"burst"`
	Unit     string   `json:"count-unit"`
}

func tenantName(index int) string { return fmt.Sprintf("t%d", index) }

func apiKey(index int, epoch int64) string { return fmt.Sprintf("key-%d-%d", index, epoch) }

// tenantsAt are the tenants of the configuration of a revision. Each has the key of its epoch, and that of the epoch
// before.
func tenantsAt(count int, revision int64) []tenant {
	var tenants []tenant
	epoch := revision / keyEpoch
	for i := range count {
		tenants = append(tenants, tenant{Name: tenantName(i), RatePerS: tenantRate, Burst: tenantBurst, Unit: "token_meter",
			APIKeys: []string{apiKey(i, epoch), apiKey(i, epoch-1)}})
	}
	return tenants
}

// tenantGuard decides on the requests of tenants at one process, with what the daemon and the gateway have for that.
type tenantGuard struct {
	process *process
	broker  *quota.Broker
	client  *quota.Client
}

// newTenantGuard returns the guard of a process whose core is open.
func newTenantGuard(p *process, firstStart bool) *tenantGuard {
	options := quota.Options{Bounds: quotaBounds, SelfAddr: p.machine.host.addr, Core: assembly.QuotaCore{Member: p.core, Relay: func() *relay.Node { return p.relay }}, Pool: p.pool, FirstStart: firstStart}
	if p.disk != nil {
		options.SaveRecord = func(record []byte) error { return p.core.SaveRecord(savedQuotasKey, record) }
		options.SavedRecord, _ = p.core.LoadRecord(savedQuotasKey)
	}
	broker := quota.NewBroker(options)
	return &tenantGuard{process: p, broker: broker, client: quota.NewClient(options, broker)}
}

func (g *tenantGuard) registerHandlers(mux *rpc.Mux) {
	g.broker.RegisterHandlers(mux)
	g.client.RegisterHandlers(mux)
}

// update applies the quotas of a snapshot.
func (g *tenantGuard) update(snapshot *relay.Snapshot) {
	previous := g.process.snapshot.Load()
	if snapshot.Config != nil && (previous == nil || previous.Config != snapshot.Config) {
		g.broker.Update(snapshot.Config)
	}
}

// refusal tells why a request was not admitted.
type refusal string

// The refusals, and their absence.
const (
	admitted        refusal = ""
	refusedStarting refusal = "starting"
	refusedAge      refusal = "keys not confirmed"
	refusedKey      refusal = "unknown key"
	refusedQuota    refusal = "over quota"
	refusedHolders  refusal = "no holder of the quota"
)

// decide decides on a request as the gateway does: keys first, by a configuration that is known to be fresh enough,
// then the quota.
func (g *tenantGuard) decide(ctx context.Context, key string, tokens int, receivedAt time.Time) refusal {
	asOf := g.process.relay.ConfigFreshAsOf()
	snapshot := g.process.snapshot.Load()
	if snapshot == nil || snapshot.Config == nil || !snapshot.Synced {
		return refusedStarting
	}
	if asOf.IsZero() || receivedAt.Sub(asOf) > gateway.KeyMaxAge(revokeTime) {
		return refusedAge
	}
	holder := snapshot.Config.TenantOfKey(key)
	if holder == nil {
		return refusedKey
	}
	switch g.client.Admit(ctx, holder.Name, holder.Cost(tokens, 0)).Verdict {
	case quota.Admitted:
		return admitted
	case quota.Exhausted:
		return refusedQuota
	}
	return refusedHolders
}

// tenantClient sends the requests of one tenant to random processes.
type tenantClient struct {
	sim    *simulation
	index  int
	random *rand.Rand
}

// run sends until ctx ends. A request does not wait for the one before.
func (c *tenantClient) run(ctx context.Context) {
	load := tenantLoads[c.index%len(tenantLoads)]
	interval := float64(time.Second) * meanTokens / (tenantRate * load)
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(c.random.ExpFloat64()*interval))
		p := c.sim.pickProcess(c.random, nil)
		epoch, known := c.sim.checker.usableKeyEpoch()
		if p == nil || p.tenants == nil || !known {
			continue
		}
		if c.random.IntN(8) == 0 {
			epoch -= int64(c.random.IntN(4)) // a key that may be revoked
		}
		tokens := meanTokens/2 + c.random.IntN(meanTokens+1)
		c.sim.checks.Go(func() { c.send(p, epoch, tokens) })
	}
}

// send sends one request, and passes what became of it to the checker.
func (c *tenantClient) send(p *process, epoch int64, tokens int) {
	sentAt := c.sim.elapsed()
	externalCall(c.sim.checking, p, tenantRequestTimeout, func(ctx context.Context) bool {
		outcome := p.tenants.decide(ctx, apiKey(c.index, epoch), tokens, time.Now())
		if !p.ended.Load() && c.sim.checking.Err() == nil {
			c.sim.checker.tenantRequest(&tenantRequest{tenant: c.index, process: p, keyEpoch: epoch, tokens: tokens,
				sentAt: sentAt, decidedAt: c.sim.elapsed(), outcome: outcome})
		}
		return true
	})
}
