package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// testTimeout bounds every wait of the tests; it is reached only by a failure.
const testTimeout = 20 * time.Second

// testMemoryMB is the memory limit of the gateway under test. testBodyMemory is the part of it for request
// bodies, in bytes.
const testMemoryMB, testBodyMemory = 256, 256 << 20 / bodyMemoryDivisor

// testConfig is a format string for a configuration with a route for each prefix. All routes allow three
// attempts, except /one/ with a single one. The arguments are the revision and additional routes.
const testConfig = `{"revision":%d,"routes":[
 {"name":"safe","hostname":"h.example","path-prefix":"/safe/","route-kind":"safe","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3},
 {"name":"once","hostname":"h.example","path-prefix":"/once/","route-kind":"unsafe","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3},
 {"name":"one","hostname":"h.example","path-prefix":"/one/","route-kind":"unsafe","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":1},
 {"name":"stream","hostname":"h.example","path-prefix":"/stream/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3,"gap_aim_ms":5000},
 {"name":"resume","hostname":"h.example","path-prefix":"/resume/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":1000,"target-service":"s","max-attempts":3,"resumable":true,"gap_aim_ms":5000}%s],
 "services":[{"name":"s","health-path":"/health"},{"name":"t","health-path":"/health"}],
 "limits":{"header-bytes":16384,"body-bytes":65536,"header-ms":3000,"idle-ms":15000}}`

// callScript handles the n-th request, from 0, that reached any server. If it returns false, the server
// closes the connection.
type callScript func(call *upstreamCall, n int) bool

// testHarness is a gateway on a loopback listener, and scripted model servers.
type testHarness struct {
	t       testing.TB
	gateway *Gateway
	addr    string
	script  callScript
	servers []*testServer

	calls     chan *upstreamCall // requests that reached a server
	callCount atomic.Int64

	listVersion uint64 // version of the latest list of servers
	revision    int    // revision of the latest configuration

	stop context.CancelFunc
	wg   sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	conns  map[net.Conn]bool
	closed bool
}

// settingsOption changes the settings of the gateway under test.
type settingsOption func(*settings.Settings)

// withoutRetryBudget allows no retries.
func withoutRetryBudget(nodeSettings *settings.Settings) {
	nodeSettings.Bounds.RetryRatio, nodeSettings.Bounds.RetrySlack = 0, 0
}

// testSettings returns settings with limits that tests do not reach.
func testSettings() *settings.Settings {
	nodeSettings := &settings.Settings{Name: "a", Zone: "z", IP: "127.0.0.1"}
	nodeSettings.Limits.MemoryMB, nodeSettings.Limits.FileDescriptors = testMemoryMB, 1024
	nodeSettings.Bounds.RetryRatio, nodeSettings.Bounds.RetryWindowS, nodeSettings.Bounds.RetrySlack = 1000, 10, 1000
	nodeSettings.Bounds.ConvergeMs = testConvergeTime.Milliseconds()
	return nodeSettings
}

// newHarness starts a gateway with the given number of servers of service s.
func newHarness(t testing.TB, servers int, script callScript, options ...settingsOption) *testHarness {
	harness := newUnconfiguredHarness(t, servers, script, options...)
	harness.update(harness.document(""))
	return harness
}

// newUnconfiguredHarness starts a gateway without a configuration and without a list of servers.
func newUnconfiguredHarness(t testing.TB, servers int, script callScript, options ...settingsOption) *testHarness {
	t.Helper()
	nodeSettings := testSettings()
	for _, option := range options {
		option(nodeSettings)
	}
	harness := &testHarness{
		t:       t,
		gateway: New(nodeSettings, 1),
		script:  script,
		calls:   make(chan *upstreamCall, 4096),
		conns:   map[net.Conn]bool{},
	}
	harness.gateway.ConfigFreshAsOf = time.Now
	for range servers {
		harness.startServer("s")
	}
	listener := listenLoopback(t)
	harness.addr = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	harness.stop = cancel
	harness.wg.Go(func() { harness.gateway.Serve(listener) })
	harness.wg.Go(func() { harness.gateway.Run(ctx) })
	t.Cleanup(harness.close)
	return harness
}

// listenLoopback listens on a free port.
func listenLoopback(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// close stops the gateway, the servers and all their connections, and waits for them.
func (h *testHarness) close() {
	h.mu.Lock()
	h.closed = true
	for _, server := range h.servers {
		server.listener.Close()
	}
	for conn := range h.conns {
		conn.Close()
	}
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.gateway.Shutdown(ctx, 0)
	h.stop()
	h.wg.Wait()
}

// track adds a connection to those that close closes.
func (h *testHarness) track(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		conn.Close()
	}
	h.conns[conn] = true
}

// nextCall returns the next request that reached a server.
func (h *testHarness) nextCall() *upstreamCall {
	h.t.Helper()
	select {
	case call := <-h.calls:
		return call
	case <-time.After(testTimeout):
		require.FailNow(h.t, "no request reached a server")
		return nil
	}
}

// requireNoCall checks that no further request has reached a server.
func (h *testHarness) requireNoCall() {
	h.t.Helper()
	select {
	case call := <-h.calls:
		require.FailNow(h.t, "a request reached a server", "%s", call.rawHead)
	default:
	}
}

// requestCount returns how many requests reached any server.
func (h *testHarness) requestCount() (count int64) {
	for _, server := range h.servers {
		count += server.requestCount.Load()
	}
	return count
}

// requireMemoryReleased checks that no memory is reserved for bodies.
func (h *testHarness) requireMemoryReleased() {
	h.t.Helper()
	require.Eventually(h.t, func() bool { return h.gateway.bodyMemory.TryAcquire(testBodyMemory) }, testTimeout, time.Millisecond)
	h.gateway.bodyMemory.Release(testBodyMemory)
}

// document returns a configuration with a new revision and additional routes, each in JSON with a leading
// comma.
func (h *testHarness) document(moreRoutes string) *config.Document {
	h.t.Helper()
	h.revision++
	document, err := config.Parse(fmt.Appendf(nil, testConfig, h.revision, moreRoutes))
	require.NoError(h.t, err)
	return document
}

// serverList returns a new version of the list of all servers but the excluded ones.
func (h *testHarness) serverList(excluded ...*testServer) *registry.List {
	h.listVersion++
	list := &registry.List{Version: h.listVersion, ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	for _, server := range h.servers {
		if slices.Contains(excluded, server) {
			continue
		}
		instance := server.instance
		list.ByID[instance.ID] = instance
		list.ByService[instance.Service] = append(list.ByService[instance.Service], instance)
	}
	return list
}

// update gives the gateway a configuration and the list of all servers but the excluded ones.
func (h *testHarness) update(document *config.Document, excluded ...*testServer) {
	servers := h.serverList(excluded...)
	h.gateway.Update(&relay.Snapshot{ConfigSeq: h.listVersion, Config: document, Servers: servers, Agents: 1, Synced: true})
}
