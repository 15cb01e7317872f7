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
	// keyEpoch is the number of revisions after which the tenants get new keys. A key is valid for two such epochs.
	keyEpoch = 24
	// revokeTime is the time from the acknowledgement of a key's removal until the key must be refused.
	revokeTime = 5 * time.Second
	// tenantRate and tenantBurst are the quota of each tenant.
	tenantRate, tenantBurst = 200, 100
	// meanTokens is the mean size of a request, in tokens.
	meanTokens = 10
	// savedQuotasKey is the key of the disk record with the quotas.
	savedQuotasKey = "quotas"
	// tenantRequestTimeout bounds a request by a tenant.
	tenantRequestTimeout = 600 * time.Millisecond
)

// quotaBounds bounds the requests of a tenant that all processes together admit.
var quotaBounds = quota.Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 60}

// compliantLoad is the load, as a multiple of a tenant's rate, up to which no request may be rejected while the core is
// stable. It is well below 1 because the shares of a lost member and of its deputy are missing for two windows of the
// quota.
const compliantLoad = 0.25

// tenantLoads has the loads of the tenants as multiples of their rates, by the tenant's index modulo its length.
var tenantLoads = []float64{compliantLoad, 4, 0.9}

// tenant is a tenant in a configuration.
type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api-keys"`
	RatePerS float64  `json:"rate-per-s"`
	Burst    float64  `json:"burst"`
	Unit     string   `json:"count-unit"`
}

func tenantName(index int) string { return fmt.Sprintf("t%d", index) }

func apiKey(index int, epoch int64) string { return fmt.Sprintf("key-%d-%d", index, epoch) }

// tenantsAt returns the tenants in the configuration of a revision. Each has the keys of this epoch and the previous
// one.
func tenantsAt(count int, revision int64) []tenant {
	var tenants []tenant
	epoch := revision / keyEpoch
	for i := range count {
		tenants = append(tenants, tenant{Name: tenantName(i), RatePerS: tenantRate, Burst: tenantBurst,
			Unit: "token_meter", APIKeys: []string{apiKey(i, epoch), apiKey(i, epoch-1)}})
	}
	return tenants
}

// tenantGuard admits or refuses the requests of tenants at a process, with the components of daemon and gateway.
type tenantGuard struct {
	process *process
	broker  *quota.Broker
	client  *quota.Client
}

// newTenantGuard returns the guard of a process. The core of the process must be open.
func newTenantGuard(p *process, firstStart bool) *tenantGuard {
	options := quota.Options{Bounds: quotaBounds, SelfAddr: p.machine.host.addr,
		Core: assembly.QuotaCore{Member: p.core, Relay: func() *relay.Node { return p.relay }}, Pool: p.pool,
		FirstStart: firstStart}
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

// refusal is the reason why a request was refused.
type refusal string

// The reasons of refusals, and admitted for a request that was not refused.
const (
	admitted               refusal = ""
	refusedStarting        refusal = "starting"
	refusedUnconfirmedKeys refusal = "keys not confirmed"
	refusedKey             refusal = "unknown key"
	refusedQuota           refusal = "over quota"
	refusedHolders         refusal = "no holder of the quota"
)

// decide admits or refuses a request like the gateway: it first checks the key against a configuration that is
// confirmed to be fresh enough, and then the quota.
func (g *tenantGuard) decide(ctx context.Context, key string, tokens int, receivedAt time.Time) refusal {
	asOf := g.process.relay.ConfigFreshAsOf()
	snapshot := g.process.snapshot.Load()
	if snapshot == nil || snapshot.Config == nil || !snapshot.Synced {
		return refusedStarting
	}
	g.process.machine.sim.checker.checkFreshness(g.process, asOf, snapshot.Config.Revision)
	if asOf.IsZero() || receivedAt.Sub(asOf) > gateway.KeyMaxAge(revokeTime) {
		return refusedUnconfirmedKeys
	}
	owner := snapshot.Config.TenantOfKey(key)
	if owner == nil {
		return refusedKey
	}
	switch g.client.Admit(ctx, owner.Name, owner.Cost(tokens, 0)).Verdict {
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

// run sends requests until ctx ends. A request does not wait for the end of the previous one.
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

// send sends one request and passes its outcome to the checker.
func (c *tenantClient) send(p *process, epoch int64, tokens int) {
	sentAt := c.sim.elapsed()
	externalCall(c.sim.checkCtx, p, tenantRequestTimeout, func(ctx context.Context) bool {
		outcome := p.tenants.decide(ctx, apiKey(c.index, epoch), tokens, time.Now())
		if !p.ended.Load() && c.sim.checkCtx.Err() == nil {
			c.sim.checker.checkTenantRequest(&tenantRequest{tenant: c.index, process: p, keyEpoch: epoch,
				tokens: tokens, sentAt: sentAt, decidedAt: c.sim.elapsed(), outcome: outcome})
		}
		return true
	})
}
