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

// patience bounds a play; it is reached only where something is broken.
const patience = 2 * time.Minute

func small(t *testing.T) Config {
	return Config{Agents: 10, Core: 3, Servers: 12, Size: sampling.Size{Routes: 6, Services: 2, Tenants: 20},
		Beat: 400 * time.Millisecond, For: 3 * time.Second, Dir: t.TempDir()}
}

func play(t *testing.T, cfg Config) *Result {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := Play(ctx, cfg, nil)
	require.NoError(t, err)
	require.Empty(t, r.Troubles)
	var out bytes.Buffer
	require.NoError(t, r.Write(&out))
	require.Contains(t, out.String(), "one hollow agent")
	return r
}

func TestChangesAndDrainsReachAll(t *testing.T) {
	cfg := small(t)
	cfg.Changes, cfg.Drains = 120, 60
	r := play(t, cfg)
	require.Equal(t, cfg.Agents+cfg.Core, r.Start.N)
	require.Equal(t, cfg.Agents+cfg.Core, r.Known.N)
	require.GreaterOrEqual(t, r.InForce.N, 1)
	require.GreaterOrEqual(t, r.Drains.N, 1)
	require.Zero(t, r.InForce.Missing)
	require.Zero(t, r.Drains.Missing)
	require.Len(t, r.Core, cfg.Core)
	places := map[string]bool{}
	for _, m := range r.Core {
		places[m.Place] = true
	}
	require.Contains(t, places, LoseHead)
	require.Contains(t, places, LoseTail)

	// Each agent has one session, and asks for the view; the core pings and pushes.
	feed := r.Calls[session+fromAgent]
	require.Greater(t, feed.In, int64(cfg.Agents))
	require.Greater(t, feed.Out, int64(cfg.Agents))
	require.Greater(t, feed.BytesOut, feed.BytesIn, "a configuration goes to agents")
	require.Positive(t, r.Calls[session+fromCore].Messages(), r.Calls)
	for _, call := range []string{"core.ping", "core.view", pushCall} {
		require.Positive(t, r.Calls[call].In, call)
		require.Positive(t, r.Calls[call].Out, call)
	}
	require.Positive(t, r.Beats)
	require.Positive(t, r.Agent.Bytes)
}

func TestChurnAndALostMember(t *testing.T) {
	for _, lose := range []string{LoseHead, LoseMiddle, LoseTail} {
		t.Run(lose, func(t *testing.T) {
			cfg := small(t)
			cfg.Changes, cfg.Churn, cfg.Lose = 120, 60, lose
			r := play(t, cfg)
			require.NotNil(t, r.Lost)
			require.Positive(t, r.Lost.Back-r.Lost.At)
			require.Zero(t, r.InForce.Missing)
			require.GreaterOrEqual(t, r.Returns.N, 2, "an agent and the member of the core")
		})
	}
}

func TestBounds(t *testing.T) {
	for key, change := range map[string]func(*Config){
		"agents": func(c *Config) { c.Agents = 0 },
		"core":   func(c *Config) { c.Core = 10 },
		"hosts":  func(c *Config) { c.Hosts, c.Core, c.Real = 8, 9, 4 },
		"drains": func(c *Config) { c.Drains, c.Servers = 1, 0 },
		"lose":   func(c *Config) { c.Lose = "all" },
		"beat":   func(c *Config) { c.Beat = 0 },
	} {
		cfg := small(t)
		change(&cfg)
		_, err := Play(context.Background(), cfg, nil)
		require.ErrorContains(t, err, key)
	}
}
