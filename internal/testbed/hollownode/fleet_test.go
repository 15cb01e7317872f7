package hollownode

import (
	"bytes"
	"context"
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"chalkdoor.example/chalkdoor/internal/leaktest"
	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

func TestMain(m *testing.M) {
	fs := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(fs)
	_ = fs.Set("logtostderr", "false")
	_ = fs.Set("stderrthreshold", "FATAL")
	klog.SetOutput(new(bytes.Buffer))
	leaktest.Main(m)
}

// testTimeout bounds a run; it is reached only in a failure.
const testTimeout = 2 * time.Minute

func smallConfig(t *testing.T) Config {
	return Config{Agents: 10, Core: 3, Servers: 12, Size: sampling.Size{Routes: 6, Services: 2, Tenants: 20},
		HeartbeatInterval: 400 * time.Millisecond, Window: 3 * time.Second, Dir: t.TempDir()}
}

func runFleet(t *testing.T, cfg Config) *Result {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r, err := Run(ctx, cfg, nil)
	require.NoError(t, err)
	require.Empty(t, r.Errors)
	var out bytes.Buffer
	require.NoError(t, r.Write(&out))
	require.Contains(t, out.String(), "one hollow agent")
	return r
}

func TestChangesAndDrainsReachAllNodes(t *testing.T) {
	cfg := smallConfig(t)
	cfg.Changes, cfg.Drains = 120, 60
	r := runFleet(t, cfg)
	require.Equal(t, cfg.Agents+cfg.Core, r.ReadyDelays.N)
	require.Equal(t, cfg.Agents+cfg.Core, r.ServersKnown.N)
	require.GreaterOrEqual(t, r.AppliedDelays.N, 1)
	require.GreaterOrEqual(t, r.DrainDelays.N, 1)
	require.Zero(t, r.AppliedDelays.Missing)
	require.Zero(t, r.DrainDelays.Missing)
	require.Len(t, r.Core, cfg.Core)
	places := map[string]bool{}
	for _, m := range r.Core {
		places[m.Position] = true
	}
	require.Contains(t, places, LoseHead)
	require.Contains(t, places, LoseTail)

	// Each agent has one session and asks for the view; the core pings and pushes.
	feed := r.Calls[sessionCall+fromAgent]
	require.Greater(t, feed.In, int64(cfg.Agents))
	require.Greater(t, feed.Out, int64(cfg.Agents))
	require.Greater(t, feed.BytesOut, feed.BytesIn, "a configuration goes to agents")
	require.Positive(t, r.Calls[sessionCall+fromCore].Messages(), r.Calls)
	for _, call := range []string{"core.ping", "core.view", pushCall} {
		require.Positive(t, r.Calls[call].In, call)
		require.Positive(t, r.Calls[call].Out, call)
	}
	require.Positive(t, r.HeartbeatRate)
	require.Positive(t, r.Agent.Bytes)
}

func TestChurnAndMemberLoss(t *testing.T) {
	for _, lose := range []string{LoseHead, LoseMiddle, LoseTail} {
		t.Run(lose, func(t *testing.T) {
			cfg := smallConfig(t)
			cfg.Changes, cfg.Churn, cfg.Lose = 120, 60, lose
			r := runFleet(t, cfg)
			require.NotNil(t, r.Loss)
			require.Positive(t, r.Loss.RestoredAt-r.Loss.LostAt)
			require.Zero(t, r.AppliedDelays.Missing)
			require.GreaterOrEqual(t, r.RestartDelays.N, 2, "an agent and the member of the core")
		})
	}
}

func TestConfigBounds(t *testing.T) {
	for key, change := range map[string]func(*Config){
		"agents": func(c *Config) { c.Agents = 0 },
		"core":   func(c *Config) { c.Core = 10 },
		"hosts":  func(c *Config) { c.Hosts, c.Core, c.Real = 8, 9, 4 },
		"drains": func(c *Config) { c.Drains, c.Servers = 1, 0 },
		"lose":   func(c *Config) { c.Lose = "all" },
		"beat":   func(c *Config) { c.HeartbeatInterval = 0 },
	} {
		cfg := smallConfig(t)
		change(&cfg)
		_, err := Run(context.Background(), cfg, nil)
		require.ErrorContains(t, err, key)
	}
}
