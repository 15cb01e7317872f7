package fleetlab

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// testTimeout bounds each wait; an idle machine needs a fraction of it.
const testTimeout = time.Minute

// fleetSlots bounds the fleets that run at once, so that each has enough CPU time.
var fleetSlots = make(chan struct{}, 2)

// startFleet starts a small fleet with shorter bounds than those of a deployment. configure may change its
// configuration.
func startFleet(t *testing.T, agents, core, servers int, configure func(*Config)) (context.Context, *Fleet) {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	cfg := DefaultConfig(agents, core, servers)
	cfg.Program, cfg.Dir, cfg.Zones = daemonProgram, t.TempDir(), 2
	cfg.Verbosity = 2 // logs the reasons of rejections
	b := &cfg.Bounds
	b.Contact, b.Drain, b.HeartbeatInterval, b.Stabilization = 1500*time.Millisecond, 1200*time.Millisecond, 200*time.Millisecond, 2*time.Second
	for _, c := range cfg.Classes { // latency on a busy machine is not tested here
		c.FirstEventTarget, c.EventGapTarget = 4*time.Second, 2*time.Second
	}
	if configure != nil {
		configure(&cfg)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	t.Cleanup(cancel)
	fleet, err := Start(ctx, cfg)
	require.NoError(t, err)
	t.Cleanup(func() {
		fleet.Close()
		if t.Failed() {
			for _, a := range fleet.Agents {
				t.Logf("%s (%s): rejected:\n%s\nlog: %s", a.Name, a.IP, a.rejections(), a.logTail())
			}
		}
	})
	return ctx, fleet
}

// startTraffic starts clients. The returned function waits for their last request and returns the outcomes.
func (f *Fleet) startTraffic(ctx context.Context, t *testing.T, rate float64, length time.Duration) (wait func() []Outcome) {
	t.Helper()
	clients, plan, err := f.NewWorkload(rate, length)
	require.NoError(t, err)
	var got outcomeLog
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.Run(ctx, plan, got.add)
	}()
	return func() []Outcome {
		<-done
		clients.Close()
		require.Len(t, got.outcomes, len(plan))
		return got.outcomes
	}
}

// requireNoViolations reads the configuration back and checks all observations.
func requireNoViolations(ctx context.Context, t *testing.T, fleet *Fleet) {
	t.Helper()
	fleet.ReadBack(ctx)
	for _, v := range fleet.Check() {
		assert.Fail(t, "rule violated", "%v", v)
	}
}

// notServed describes the outcomes that were not served.
func notServed(all []Outcome) (out []string) {
	for _, o := range all {
		if o.Verdict > Late {
			out = append(out, fmt.Sprintf("%s %v (%s) after %d attempts", o.Class.Name, o.Verdict, o.FailureReason, o.Attempts))
		}
	}
	return out
}

func TestFleetWithoutFaultsServesAll(t *testing.T) {
	ctx, fleet := startFleet(t, 5, 3, 4, nil)
	all := fleet.startTraffic(ctx, t, 50, 2*time.Second)()
	assert.Empty(t, notServed(all))
	requireNoViolations(ctx, t, fleet)
}

func TestConfigurationPropagatesToAllAgents(t *testing.T) {
	ctx, fleet := startFleet(t, 5, 3, 4, nil)
	wait := fleet.startTraffic(ctx, t, 30, 4*time.Second)
	first := fleet.Operator.Current()

	// A rejected change has no effect, whatever the reason.
	bad := first.clone()
	bad.Revision += 1
	bad.Routes = append(bad.Routes, Route{Name: "bad", Host: hostname, Prefix: "/bad/", Kind: "safe", TimeoutMs: 1000, Service: "nowhere", MaxAttempts: 1})
	status, err := fleet.Operator.PutInvalid(ctx, first.Revision, bad)
	require.NoError(t, err)
	assert.Equal(t, 400, status/100*100)

	// One route is moved to another service and one is added.
	moved := first.Routes[0]
	moved.Service = serviceB
	added := first.Routes[1]
	added.Name, added.Prefix, added.Split, added.Service = "r-added", "/added/", nil, serviceB
	status, err = fleet.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{moved, added}}})
	require.NoError(t, err)
	require.Equal(t, 200, status)
	acked := fleet.Now()
	class := *fleet.cfg.Classes[1]
	class.Name, class.Path = "added", "/added/"
	for _, a := range fleet.Agents {
		require.NoError(t, fleet.waitServing(ctx, a, &class))
	}
	assert.Less(t, fleet.Now()-acked, fleet.cfg.Bounds.Converge+testTimeout/10)

	// Another change that is based on the old revision conflicts.
	d := fleet.Operator.Current()
	other := d.clone()
	other.Revision += 5
	status, err = fleet.Operator.Put(ctx, first.Revision, other)
	require.NoError(t, err)
	assert.Equal(t, 412, status)

	status, err = fleet.Operator.Patch(ctx, Patch{Remove: Remove{Routes: []string{"r-added"}}})
	require.NoError(t, err)
	require.Equal(t, 200, status)
	for _, a := range fleet.Agents {
		fleet.requireNotFound(ctx, t, a, &class)
	}
	assert.Empty(t, notServed(wait()))
	requireNoViolations(ctx, t, fleet)
}

// requireNotFound sends requests of a class to an agent until it answers 404.
func (f *Fleet) requireNotFound(ctx context.Context, t *testing.T, a *Agent, c *Class) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if x := f.Probe(ctx, a, c); x.Status == 404 {
			return
		}
	}
	require.FailNow(t, "the route still exists", a.Name)
}

func TestConcurrentOperators(t *testing.T) {
	ctx, fleet := startFleet(t, 3, 3, 2, nil)
	first := fleet.Operator.Current()
	type result struct {
		status int
		err    error
	}
	results := make(chan result, 2)
	for i := range 2 {
		op := newOperator(fleet.controlAddrs, fleet.Now, fleet.recorder, uint64(i)+7)
		t.Cleanup(op.close)
		d := first.clone()
		d.Revision += 1 + i
		d.Routes[0].TimeoutMs -= 1 + i
		go func() {
			status, err := op.Put(ctx, first.Revision, d)
			results <- result{status, err}
		}()
	}
	var got []int
	for range 2 {
		a := <-results
		require.NoError(t, a.err)
		got = append(got, a.status)
	}
	slices.Sort(got)
	assert.Equal(t, []int{200, 412}, got)
	requireNoViolations(ctx, t, fleet)
}

func TestAgentShutsDownGracefullyUnderStreams(t *testing.T) {
	ctx, fleet := startFleet(t, 4, 3, 4, func(c *Config) { c.Classes[0].MaxOutputTokens = 600 }) // long streams
	wait := fleet.startTraffic(ctx, t, 30, 5*time.Second)
	agent := fleet.awaitBusyAgent(ctx, t, 3)
	require.NoError(t, agent.Terminate(ctx), "graceful shutdown within the grace period")
	require.NoError(t, agent.Restart())
	require.NoError(t, fleet.WaitAllReady(ctx))
	assert.Empty(t, notServed(wait()))
	for _, x := range fleet.recorder.snapshot().Attempts {
		assert.False(t, x.Agent == agent.IP && x.Status == 200 && !x.Complete, "%s was cut off", x.ID)
	}
	requireNoViolations(ctx, t, fleet)
}

// awaitBusyAgent waits until an agent has a number of streams that have been in progress for some time, and returns the
// last such agent. Which one that is depends on how rendezvous hashing distributes the clients.
func (f *Fleet) awaitBusyAgent(ctx context.Context, t *testing.T, streams int) *Agent {
	t.Helper()
	for {
		list, changed := f.recorder.streams()
		count := map[string]int{}
		for _, s := range list {
			if f.isOld(s) {
				count[s.Agent]++
			}
		}
		for _, agent := range slices.Backward(f.Agents) {
			if count[agent.IP] >= streams {
				return agent
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			require.FailNow(t, "no agent has enough streams", "%v", count)
		}
	}
}

// isOld reports whether a stream has been in progress long enough to have events.
func (f *Fleet) isOld(s Stream) bool { return f.Now()-s.At > 100*time.Millisecond }

func TestCoreMachineIsKilled(t *testing.T) {
	// A new process has no share of the retry budget until its first window has passed. With a longer window, a request
	// whose server is full shortly after the start would be rejected, as the budget requires.
	ctx, fleet := startFleet(t, 5, 3, 4, func(c *Config) { c.Bounds.RetryWindow = 500 * time.Millisecond })
	wait := fleet.startTraffic(ctx, t, 40, 6*time.Second)
	core := fleet.Agents[0]
	require.NoError(t, fleet.WaitStreams(ctx, 1, func(s Stream) bool { return s.Agent == core.IP && fleet.isOld(s) }))
	core.Kill()
	// The core works without the killed machine: a change is acknowledged and applied.
	r := fleet.Operator.Current().Routes[0]
	r.TimeoutMs -= 500
	sent := fleet.Now()
	status, err := fleet.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{r}}})
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	assert.Less(t, fleet.Now()-sent, fleet.cfg.Bounds.Ack+fleet.cfg.Bounds.Contact)
	require.NoError(t, core.Restart())
	require.NoError(t, fleet.WaitServing(ctx))
	all := wait()
	// Idempotent requests are served; others may be lost if they were forwarded by the killed machine.
	for _, o := range all {
		if o.Class.Resumable {
			assert.LessOrEqual(t, o.Verdict, Late, "%s: %s", o.Verdict, o.FailureReason)
		}
	}
	assert.Less(t, len(notServed(all)), len(all)/10)
	requireNoViolations(ctx, t, fleet)
}

func TestAllMachinesAreKilled(t *testing.T) {
	ctx, fleet := startFleet(t, 4, 3, 2, nil)
	r := fleet.Operator.Current().Routes[0]
	r.TimeoutMs -= 500
	status, err := fleet.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{r}}})
	require.NoError(t, err)
	require.Equal(t, 200, status)
	for _, a := range fleet.Agents {
		a.Kill()
	}
	for _, a := range fleet.Agents {
		require.NoError(t, a.Restart())
	}
	require.NoError(t, fleet.WaitServing(ctx))
	assert.Empty(t, notServed(fleet.startTraffic(ctx, t, 30, time.Second)()))
	requireNoViolations(ctx, t, fleet)
}

func TestCoreMachineLosesItsDiskAfterAcknowledgement(t *testing.T) {
	ctx, fleet := startFleet(t, 4, 3, 2, nil)
	r := fleet.Operator.Current().Routes[0]
	r.TimeoutMs -= 500
	status, err := fleet.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{r}}})
	require.NoError(t, err)
	require.Equal(t, 200, status)
	lost := fleet.Agents[0]
	for _, a := range fleet.Agents[:fleet.cfg.Core] { // the one that acknowledged the change, if it has a disk
		if changes := fleet.recorder.snapshot().Changes; a.IP == changes[len(changes)-1].AckedBy {
			lost = a
		}
	}
	lost.Kill()
	require.NoError(t, lost.WipeDisk())
	fleet.ReadBack(ctx)
	assert.Empty(t, fleet.Check())
	require.NoError(t, lost.Restart())
	require.NoError(t, fleet.WaitServing(ctx))
	r.TimeoutMs -= 500
	status, err = fleet.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{r}}})
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	requireNoViolations(ctx, t, fleet)
}

func TestPausedAgentResumes(t *testing.T) {
	ctx, fleet := startFleet(t, 4, 3, 3, nil)
	wait := fleet.startTraffic(ctx, t, 30, 5*time.Second)
	paused := fleet.Agents[3]
	require.NoError(t, fleet.WaitStreams(ctx, 1, func(s Stream) bool { return s.Agent == paused.IP }))
	require.NoError(t, paused.Pause())
	require.NoError(t, fleet.LoadBalancer.WaitReady(ctx, func(ready map[string]bool) bool { return !ready[paused.IP] }))
	// The change that the paused agent misses must not be reverted.
	r := fleet.Operator.Current().Routes[0]
	r.Service = serviceB
	status, err := fleet.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{r}}})
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.NoError(t, paused.Resume())
	require.NoError(t, fleet.WaitAllReady(ctx))
	all := wait()
	assert.Less(t, len(notServed(all)), len(all)/10, "%v", notServed(all))
	requireNoViolations(ctx, t, fleet)
}

func TestReloadBreaksNoStream(t *testing.T) {
	ctx, fleet := startFleet(t, 3, 3, 3, nil)
	wait := fleet.startTraffic(ctx, t, 30, 2*time.Second)
	for _, a := range fleet.Agents {
		require.NoError(t, fleet.WaitStreams(ctx, 1, func(s Stream) bool { return s.Agent == a.IP && fleet.isOld(s) }))
		require.NoError(t, a.Reload())
	}
	assert.Empty(t, notServed(wait()))
	requireNoViolations(ctx, t, fleet)
}

func TestServerDrainsUnderTraffic(t *testing.T) {
	ctx, fleet := startFleet(t, 4, 3, 4, nil)
	wait := fleet.startTraffic(ctx, t, 40, 6*time.Second)
	leaving := fleet.Server(0)
	require.NoError(t, leaving.Leave(ctx))
	require.NoError(t, fleet.RestartServer(ctx, 0))
	assert.Empty(t, notServed(wait()))
	acked := false
	for _, r := range fleet.recorder.snapshot().Records {
		acked = acked || r.Kind == modelserver.Draining && r.Instance == leaving.ID()
	}
	assert.True(t, acked, "the drain was acknowledged")
	requireNoViolations(ctx, t, fleet)
}

func TestServerCrashesUnderStreams(t *testing.T) {
	ctx, fleet := startFleet(t, 4, 3, 4, func(c *Config) {
		c.Classes[1].MaxOutputTokens, c.Classes[1].Deadline, c.Classes[1].Timeout = 300, 10*time.Second, 10*time.Second // long resumable streams
		// A new process has no share of the retry budget until its first window has passed.
		c.Bounds.RetryWindow = 500 * time.Millisecond
	})
	wait := fleet.startTraffic(ctx, t, 40, 4*time.Second)
	path := fleet.cfg.Classes[1].Path
	require.NoError(t, fleet.WaitStreams(ctx, 3, func(s Stream) bool {
		return s.Instance == fleet.Server(0).ID() && strings.HasPrefix(s.Target, path) && fleet.isOld(s)
	}))
	fleet.Server(0).Crash()
	require.NoError(t, fleet.RestartServer(ctx, 0))
	all := wait()
	for _, o := range all {
		if o.Class.Resumable {
			assert.LessOrEqual(t, o.Verdict, Late, "%s: %s after %d attempts", o.Verdict, o.FailureReason, o.Attempts)
		}
	}
	resumed := 0
	for _, x := range fleet.recorder.snapshot().Attempts {
		for i := range x.Events {
			if i > 0 && x.Events[i].Seal != x.Events[i-1].Seal {
				resumed++
			}
		}
	}
	assert.Positive(t, resumed, "streams were resumed within one response")
	requireNoViolations(ctx, t, fleet)
}

func TestRunPrintsItsReport(t *testing.T) {
	t.Parallel()
	fleetSlots <- struct{}{}
	defer func() { <-fleetSlots }()
	cfg := DefaultConfig(3, 3, 3)
	cfg.Program, cfg.Dir = daemonProgram, t.TempDir()
	r, err := Run(context.Background(), cfg, Options{Duration: 2 * time.Second, Fault: "drain"}, nil)
	require.NoError(t, err)
	assert.Positive(t, r.Served)
	assert.Equal(t, r.Requests, r.Served+r.Rejected+sum(r.Failed))
	assert.Equal(t, 3, r.Changes)
	assert.Empty(t, r.Violations)
	for _, c := range r.Classes {
		assert.Positive(t, c.FirstEventP95Ms, c.Name)
	}
	_, err = Run(context.Background(), cfg, Options{Duration: time.Second, Fault: "flood"}, nil)
	require.ErrorContains(t, err, "crash-server")
}

func sum(m map[string]int) (n int) {
	for _, x := range m {
		n += x
	}
	return n
}

func TestWorkloadFollowsFromSeed(t *testing.T) {
	cfg := DefaultConfig(2, 1, 2)
	fleet := &Fleet{cfg: cfg, zones: []string{"z"}, recorder: &recorder{}}
	a, plan, err := fleet.NewWorkload(50, 2*time.Second)
	require.NoError(t, err)
	b, samePlan, err := fleet.NewWorkload(50, 2*time.Second)
	require.NoError(t, err)
	assert.Equal(t, plan, samePlan)
	require.NotEmpty(t, plan)
	for i := range plan {
		x, y := a.newRequest(&plan[i]), b.newRequest(&loadgen.PlannedRequest{Number: plan[i].Number, Agent: plan[i].Agent, Class: plan[i].Class, Key: plan[i].Key})
		assert.Equal(t, x, func() *request { y.class = x.class; return y }())
	}
}
