package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// testTimeout bounds every wait in the tests. It expires only if a test fails.
const testTimeout = 20 * time.Second

// testMachine is a machine with its own loopback address, settings file and state directory.
type testMachine struct {
	t                                               *testing.T
	ip                                              string
	settingsPath, stateDir                          string
	frontPort, readinessPort, controlPort, peerPort int
	seeds                                           string // value of seed-nodes in TOML
	client                                          *http.Client
}

func newTestMachine(t *testing.T) *testMachine {
	machine := &testMachine{
		t:            t,
		settingsPath: filepath.Join(t.TempDir(), "local.toml"),
		stateDir:     t.TempDir(),
		ip:           fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250)),
	}
	for _, port := range []*int{&machine.frontPort, &machine.readinessPort, &machine.controlPort, &machine.peerPort} {
		listener, err := net.Listen("tcp", machine.ip+":0")
		require.NoError(t, err)
		*port = listener.Addr().(*net.TCPAddr).Port
		require.NoError(t, listener.Close())
	}
	machine.seeds = fmt.Sprintf(`["%s:%d"]`, machine.ip, machine.controlPort)
	machine.client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	machine.writeSettings(true)
	return machine
}

// newTestMachines returns the machines of one fleet. They use the same ports, and each is a seed.
func newTestMachines(t *testing.T, count int) []*testMachine {
	first := newTestMachine(t)
	machines := []*testMachine{first}
	seeds := []string{fmt.Sprintf("%q", net.JoinHostPort(first.ip, strconv.Itoa(first.controlPort)))}
	for len(machines) < count {
		machine := newTestMachine(t)
		machine.frontPort, machine.readinessPort, machine.controlPort, machine.peerPort =
			first.frontPort, first.readinessPort, first.controlPort, first.peerPort
		machines = append(machines, machine)
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(machine.ip, strconv.Itoa(machine.controlPort))))
	}
	for _, machine := range machines {
		machine.seeds = "[" + strings.Join(seeds, ", ") + "]"
		machine.writeSettings(true)
	}
	return machines
}

// writeSettings writes the settings file with firstStart as the value of first-start.
func (m *testMachine) writeSettings(firstStart bool) {
	text := fmt.Sprintf(`
node-name = "edge-1"
machine-class = "edge"
served-roles = ["edge", "control"]
ip = %q
zone = "z"
region = "r"
port-range = [%d, %d]
seed-nodes = %s
first-start = %v
counted-loss = true
state-dir = %q
discovery-source = "self_register"
entry-kind = "vip"
beat-period-ms = 1200
active-contracts = ["base", "later"]
field-of-later = 1
[zones]
z = "r"
[listen]
front = "%s:%d"
readiness = "%s:%d"
control = "%s:%d"
[limits]
memory-mb = 284
fd-limit = 4100
[fault-tolerance]
machine-losses = 0
[bounds]
grace-s = 8
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 58
`, m.ip, m.peerPort, m.peerPort, m.seeds, firstStart, m.stateDir,
		m.ip, m.frontPort, m.ip, m.readinessPort, m.ip, m.controlPort)
	require.NoError(m.t, os.WriteFile(m.settingsPath, []byte(text), 0o600))
}

// testProcess is a running process of a machine.
type testProcess struct {
	*testMachine
	daemon    *Daemon
	reload    chan struct{}
	terminate context.CancelFunc
	exited    chan error
}

func (m *testMachine) start() *testProcess {
	d, err := New(m.settingsPath)
	require.NoError(m.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	process := &testProcess{
		testMachine: m, daemon: d, reload: make(chan struct{}), terminate: cancel, exited: make(chan error, 1),
	}
	go func() { process.exited <- d.Run(ctx, process.reload) }()
	m.t.Cleanup(func() { process.terminate(); process.exited <- <-process.exited })
	return process
}

// terminateAndWait signals the process to shut down and waits until it has exited without an error.
func (p *testProcess) terminateAndWait() {
	p.terminate()
	select {
	case err := <-p.exited:
		require.NoError(p.t, err)
		p.exited <- nil
	case <-time.After(testTimeout):
		require.FailNow(p.t, "the process does not exit")
	}
}

// callControl repeats a call to the control address until the response has the status wantStatus, and
// returns the body. headers are alternating names and values.
func (m *testMachine) callControl(wantStatus int, method, path, body string, headers ...string) string {
	var responseBody string
	require.Eventually(m.t, func() bool {
		req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, m.controlPort, path),
			strings.NewReader(body))
		if err != nil {
			return false
		}
		for i := 0; i+1 < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		resp, err := m.client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		responseBody = string(b)
		return resp.StatusCode == wantStatus
	}, testTimeout, 20*time.Millisecond, "%s %s", method, path)
	return responseBody
}

func (m *testMachine) isReady() bool {
	resp, err := m.client.Get(fmt.Sprintf("http://%s:%d/chalkdoor/ready", m.ip, m.readinessPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func configJSON(revision int) string {
	return fmt.Sprintf(`{"revision":%d,"routes":[
	{"name":"a","hostname":"h.example","path-prefix":"/a/","route-kind":"unsafe","timeout-ms":10000,"setpoint-ms":500,"target-service":"s","max-attempts":1},
	{"name":"b","hostname":"h.example","path-prefix":"/b/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":500,"target-service":"s","max-attempts":1}],
	"services":[{"name":"s","health-path":"/health","later":[1,2]}],"limits":{"body-bytes":4194304}}`, revision)
}

// testModelServer answers requests at once, except one whose path ends in /held. For a stream it sends event 1, and
// then an event for each number that a test sends to nextEvent.
type testModelServer struct {
	nextEvent chan int      // number of the next event; 0, or closing the channel, ends the stream
	release   chan struct{} // the held request is answered when it is closed
	heartbeat string        // the body of its first heartbeat
	received  atomic.Int64  // number of requests received
}

// startModelServer starts a model server and sends a single heartbeat for it.
func (m *testMachine) startModelServer(id string) *testModelServer {
	server := &testModelServer{nextEvent: make(chan int), release: make(chan struct{})}
	listener, err := net.Listen("tcp", m.ip+":0")
	require.NoError(m.t, err)
	srv := &http.Server{Handler: server}
	go srv.Serve(listener)
	m.t.Cleanup(func() { srv.Close() })
	server.heartbeat = fmt.Sprintf(
		`{"target-service":"s","address":%q,"zone":"z","revision":"v1","slots":8,"state":"ready","cold-ms":0,"call-seq":1}`,
		listener.Addr())
	m.callControl(200, "PUT", "/chalkdoor/instances/"+id, server.heartbeat, "Content-Type", "application/json")
	return server
}

func (s *testModelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.received.Add(1)
	if strings.HasSuffix(r.URL.Path, "/held") {
		<-s.release
	}
	w.Header().Set("Chalkdoor-Attempt-Id", r.Header.Get("Chalkdoor-Attempt-Id"))
	w.Header().Set("Chalkdoor-Server-Seal", "seal")
	if !strings.HasPrefix(r.URL.Path, "/b/") {
		fmt.Fprintf(w, "served %s", r.URL.Path)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i > 0; i = <-s.nextEvent {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		w.(http.Flusher).Flush()
	}
}

// send sends a request to the front on a new connection.
func (m *testMachine) send(path, id string) net.Conn {
	conn, err := net.Dial("tcp", net.JoinHostPort(m.ip, strconv.Itoa(m.frontPort)))
	require.NoError(m.t, err)
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = fmt.Fprintf(conn,
		"POST %s HTTP/1.1\r\nHost: h.example\r\nChalkdoor-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", path, id)
	require.NoError(m.t, err)
	return conn
}

// request sends a request to the front on a new connection, and returns the response and a function that
// closes the connection.
func (m *testMachine) request(path, id string) (*http.Response, func()) {
	conn := m.send(path, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(m.t, err)
	return resp, func() { conn.Close() }
}

func TestSingleProcess(t *testing.T) {
	machine := newTestMachine(t)
	process := machine.start()
	machine.callControl(200, "PUT", "/chalkdoor/config", configJSON(5),
		"If-Match", "0", "Content-Type", "application/json")
	require.False(t, machine.isReady(), "ready without servers")
	server := machine.startModelServer("i-1")
	require.Eventually(t, machine.isReady, testTimeout, 20*time.Millisecond)
	resp, done := machine.request("/a/x", "1")
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "seal", resp.Header.Get("Chalkdoor-Server-Seal"))
	b, _ := io.ReadAll(resp.Body)
	require.Equal(t, "served /a/x", string(b))
	done()

	// A new configuration takes effect and can be read back as it was sent. A wrong If-Match and an invalid
	// configuration are rejected.
	next := strings.Replace(configJSON(7), `"/a/"`, `"/c/"`, 1)
	machine.callControl(412, "PUT", "/chalkdoor/config", next, "If-Match", "4", "Content-Type", "application/json")
	machine.callControl(400, "PUT", "/chalkdoor/config",
		strings.Replace(next, `"target-service":"s"`, `"target-service":"x"`, 1),
		"If-Match", "5", "Content-Type", "application/json")
	machine.callControl(200, "PUT", "/chalkdoor/config", next, "If-Match", "5", "Content-Type", "application/json")
	require.JSONEq(t, next, machine.callControl(200, "GET", "/chalkdoor/config", ""))
	// The call may be acknowledged before the configuration takes effect in this process.
	require.Eventually(t, func() bool {
		resp, done := machine.request("/c/x", "c")
		defer done()
		return resp.StatusCode == 200
	}, testTimeout, 10*time.Millisecond)
	resp, done = machine.request("/a/x", "a")
	require.Equal(t, 404, resp.StatusCode)
	done()

	// During the shutdown the readiness check fails, new requests are served and those in flight are completed.
	stream, done := machine.request("/b/x", "2")
	defer done()
	process.terminate()
	require.Eventually(t, func() bool { return !machine.isReady() }, testTimeout, 5*time.Millisecond)
	resp, done = machine.request("/c/y", "3")
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	done()
	server.nextEvent <- 2
	server.nextEvent <- 0
	b, err := io.ReadAll(stream.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", string(b))
	process.terminateAndWait()

	// After a restart the process has the acknowledged configuration, and it restores the listed servers from
	// disk until their next heartbeats are due.
	machine.writeSettings(false)
	process = machine.start()
	require.Eventually(t, machine.isReady, testTimeout, 20*time.Millisecond)
	require.JSONEq(t, next, machine.callControl(200, "GET", "/chalkdoor/config", ""))
	resp, done = machine.request("/c/x", "4")
	require.Equal(t, 200, resp.StatusCode)
	done()
	process.terminateAndWait()
}

// A process that begins to shut down fails readiness checks even while its gateway still serves requests.
func TestDrainingProcessIsNotReady(t *testing.T) {
	machine := newTestMachine(t)
	process := machine.start()
	machine.callControl(200, "PUT", "/chalkdoor/config", configJSON(5),
		"If-Match", "0", "Content-Type", "application/json")
	machine.startModelServer("i-1")
	require.Eventually(t, machine.isReady, testTimeout, 20*time.Millisecond)
	process.daemon.draining.Store(true)
	require.True(t, process.daemon.gateway.Servable(), "requests that still arrive are served")
	require.False(t, machine.isReady())
	process.terminateAndWait()
}

// A server that sends DELETE first and serves on completes the requests that it has, and gets no others, even if late
// heartbeats of it arrive.
func TestDeregisteredServerCompletesItsRequests(t *testing.T) {
	const requests = 50
	machine := newTestMachine(t)
	process := machine.start()
	machine.callControl(200, "PUT", "/chalkdoor/config", configJSON(5),
		"If-Match", "0", "Content-Type", "application/json")
	leaving := machine.startModelServer("i-leaving")
	require.Eventually(t, machine.isReady, testTimeout, 20*time.Millisecond)
	stream, closeStream := machine.request("/b/x", "stream")
	defer closeStream()
	held := machine.send("/a/held", "held")
	defer held.Close()
	require.Eventually(t, func() bool { return leaving.received.Load() == 2 }, testTimeout, time.Millisecond)

	machine.callControl(200, "DELETE", "/chalkdoor/instances/i-leaving", `{"call-seq":3}`, "Content-Type", "application/json")
	staying := machine.startModelServer("i-staying")
	require.Eventually(t, func() bool {
		resp, done := machine.request("/a/x", "first")
		defer done()
		return resp.StatusCode == 200
	}, testTimeout, 10*time.Millisecond)
	for i := range requests {
		seq := fmt.Sprintf(`"call-seq":%d}`, 1+i)
		machine.callControl(200, "PUT", "/chalkdoor/instances/i-leaving",
			strings.Replace(leaving.heartbeat, `"call-seq":1}`, seq, 1), "Content-Type", "application/json")
		resp, done := machine.request("/a/x", fmt.Sprint(i))
		require.Equal(t, 200, resp.StatusCode)
		done()
	}
	require.EqualValues(t, 1+requests, staying.received.Load())
	require.EqualValues(t, 2, leaving.received.Load())

	leaving.nextEvent <- 2
	leaving.nextEvent <- 0
	body, err := io.ReadAll(stream.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", string(body))
	close(leaving.release)
	resp, err := http.ReadResponse(bufio.NewReader(held), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	process.terminateAndWait()
}

// logHandler calls a function with the text of each log line. The line's event waits for it.
type logHandler struct {
	slog.Handler
	onLine func(text string)
}

func (h logHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h logHandler) Handle(_ context.Context, record slog.Record) error {
	h.onLine(record.Message)
	return nil
}

// A client that connects once the readiness check fails gets a response that closes its connection. The first log
// line of the shutdown is held up until the client has its response.
func TestResponsesCloseOnceReadinessFails(t *testing.T) {
	machine := newTestMachine(t)
	shutdownLine := fmt.Sprintf("E%d ", logevent.ShutdownStarted)
	shutdownLogged, resume := make(chan struct{}), make(chan struct{})
	klog.SetSlogLogger(slog.New(logHandler{slog.DiscardHandler, func(text string) {
		if strings.HasPrefix(text, shutdownLine) {
			close(shutdownLogged)
			<-resume
		}
	}}))
	t.Cleanup(klog.ClearLogger)
	process := machine.start()
	t.Cleanup(func() { close(resume) }) // before the cleanup that waits for the process
	machine.callControl(200, "PUT", "/chalkdoor/config", configJSON(5),
		"If-Match", "0", "Content-Type", "application/json")
	machine.startModelServer("i-1")
	require.Eventually(t, machine.isReady, testTimeout, 20*time.Millisecond)
	process.terminate()
	select {
	case <-shutdownLogged:
	case <-time.After(testTimeout):
		require.FailNow(t, "the process does not shut down")
	}
	require.False(t, machine.isReady())
	resp, done := machine.request("/a/x", "1")
	defer done()
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
}

// Machines that shut down at the same time all fail their readiness checks within a second, although each
// still has a stream, and none becomes ready again before the entry has removed it.
func TestSeveralMachinesShutDownAtOnce(t *testing.T) {
	const (
		checkInterval = time.Second     // interval of the entry's checks, which must fail twice
		removalLimit  = 4 * time.Second // by this time the entry must have removed every machine
	)
	machines := newTestMachines(t, 3)
	var processes []*testProcess
	for _, machine := range machines {
		processes = append(processes, machine.start())
	}
	machines[0].callControl(200, "PUT", "/chalkdoor/config", configJSON(5),
		"If-Match", "0", "Content-Type", "application/json")
	server := machines[0].startModelServer("i-1")
	var streams []*http.Response
	for _, machine := range machines {
		require.Eventually(t, machine.isReady, testTimeout, 20*time.Millisecond)
		stream, done := machine.request("/b/x", machine.ip)
		defer done()
		require.Equal(t, 200, stream.StatusCode)
		streams = append(streams, stream)
	}
	anyReady := func() bool {
		return slices.ContainsFunc(machines, (*testMachine).isReady)
	}
	start := time.Now()
	for _, process := range processes {
		process.terminate()
	}
	require.Eventually(t, func() bool { return !anyReady() }, checkInterval, 5*time.Millisecond)
	require.Never(t, anyReady, removalLimit-time.Since(start), 50*time.Millisecond)
	for _, process := range processes {
		require.Empty(t, process.exited, "the process exited before its stream was complete")
	}
	close(server.nextEvent)
	for _, stream := range streams {
		body, err := io.ReadAll(stream.Body)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: x\n\n", string(body))
	}
	for _, process := range processes {
		process.terminateAndWait()
	}
}

// Streams that outlast the grace period are aborted, and the process exits within the grace period.
func TestShutdownWithinGracePeriod(t *testing.T) {
	machine := newTestMachine(t)
	process := machine.start()
	machine.callControl(200, "PUT", "/chalkdoor/config", configJSON(5),
		"If-Match", "0", "Content-Type", "application/json")
	server := machine.startModelServer("i-1")
	require.Eventually(t, machine.isReady, testTimeout, 20*time.Millisecond)
	stream, done := machine.request("/b/x", "1")
	defer done()
	start := time.Now()
	process.terminateAndWait()
	require.Less(t, time.Since(start), 8*time.Second)
	b, err := io.ReadAll(stream.Body)
	require.Error(t, err, "the response must not look complete")
	require.Equal(t, "id: 1\ndata: x\n\n", string(b))
	close(server.nextEvent)
}

// A reload applies the seeds of the settings file. An invalid or missing file changes nothing.
func TestSettingsReload(t *testing.T) {
	machine := newTestMachine(t)
	process := machine.start()
	reloadAndWait := func() { // the second signal is received once the first has been handled
		for range 2 {
			select {
			case process.reload <- struct{}{}:
			case <-time.After(testTimeout):
				require.FailNow(t, "the reload signal is not handled")
			}
		}
	}
	initialSeeds := process.daemon.seedAddrs()
	require.Len(t, initialSeeds, 1)
	require.NoError(t, os.WriteFile(machine.settingsPath, []byte("node-name = "), 0o600))
	reloadAndWait()
	require.Equal(t, initialSeeds, process.daemon.seedAddrs())
	require.NoError(t, os.Remove(machine.settingsPath))
	reloadAndWait()
	require.Equal(t, initialSeeds, process.daemon.seedAddrs())
	machine.seeds = `["127.0.0.1:1", "127.0.0.2:1"]`
	machine.writeSettings(false)
	reloadAndWait()
	require.Equal(t, []string{
		fmt.Sprintf("127.0.0.1:%d", machine.peerPort), fmt.Sprintf("127.0.0.2:%d", machine.peerPort),
	}, process.daemon.seedAddrs())
	// A change of the file is also detected without a signal.
	machine.seeds = `["127.0.0.3:1"]`
	machine.writeSettings(false)
	require.Eventually(t, func() bool { return len(process.daemon.seedAddrs()) == 1 }, testTimeout, 20*time.Millisecond)
	process.terminateAndWait()
}

// A process that cannot listen on an address exits with an error that names the address, and leaks nothing.
func TestAddressInUse(t *testing.T) {
	for _, socket := range []string{"front", "readiness", "control", "peer"} {
		machine := newTestMachine(t)
		port := map[string]int{
			"front": machine.frontPort, "readiness": machine.readinessPort,
			"control": machine.controlPort, "peer": machine.peerPort,
		}[socket]
		addr := net.JoinHostPort(machine.ip, strconv.Itoa(port))
		listener, err := net.Listen("tcp", addr)
		require.NoError(t, err)
		process := machine.start()
		select {
		case err := <-process.exited:
			require.ErrorContains(t, err, addr)
			process.exited <- nil
		case <-time.After(testTimeout):
			require.FailNow(t, "the process does not exit", socket)
		}
		require.NoError(t, listener.Close())
	}
}
