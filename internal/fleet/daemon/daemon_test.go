package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// patience bounds every wait of the tests; it is reached only where something is broken.
const patience = 20 * time.Second

// machine is one machine on a loopback address of its own.
type machine struct {
	t                               *testing.T
	ip                              string
	path, dir                       string
	front, readiness, control, peer int
	seeds                           string
	client                          *http.Client
}

func newMachine(t *testing.T) *machine {
	m := &machine{t: t, path: filepath.Join(t.TempDir(), "local.toml"), dir: t.TempDir(),
		ip: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))}
	for _, port := range []*int{&m.front, &m.readiness, &m.control, &m.peer} {
		ln, err := net.Listen("tcp", m.ip+":0")
		require.NoError(t, err)
		*port = ln.Addr().(*net.TCPAddr).Port
		require.NoError(t, ln.Close())
	}
	m.seeds = fmt.Sprintf(`["%s:%d"]`, m.ip, m.control)
	m.client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	m.write(true)
	return m
}

// newMachines are machines of one fleet: their ports are alike, and each is a seed.
func newMachines(t *testing.T, count int) []*machine {
	first := newMachine(t)
	machines := []*machine{first}
	seeds := []string{fmt.Sprintf("%q", net.JoinHostPort(first.ip, strconv.Itoa(first.control)))}
	for len(machines) < count {
		m := newMachine(t)
		m.front, m.readiness, m.control, m.peer = first.front, first.readiness, first.control, first.peer
		machines = append(machines, m)
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(m.ip, strconv.Itoa(m.control))))
	}
	for _, m := range machines {
		m.seeds = "[" + strings.Join(seeds, ", ") + "]"
		m.write(true)
	}
	return machines
}

// write writes the settings file.
func (m *machine) write(first bool) {
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
`, m.ip, m.peer, m.peer, m.seeds, first, m.dir, m.ip, m.front, m.ip, m.readiness, m.ip, m.control)
	require.NoError(m.t, os.WriteFile(m.path, []byte(text), 0o600))
}

// process is one life of a machine's process.
type process struct {
	*machine
	d      *Daemon
	reload chan struct{}
	term   context.CancelFunc
	ended  chan error
}

func (m *machine) start() *process {
	d, err := New(m.path)
	require.NoError(m.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{machine: m, d: d, reload: make(chan struct{}), term: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- d.Run(ctx, p.reload) }()
	m.t.Cleanup(func() { p.term(); p.ended <- <-p.ended })
	return p
}

// end waits for the process to end.
func (p *process) end() {
	p.term()
	select {
	case err := <-p.ended:
		require.NoError(p.t, err)
		p.ended <- nil
	case <-time.After(patience):
		require.FailNow(p.t, "the process does not end")
	}
}

// call makes a call until it is answered with a status.
func (m *machine) call(want int, method, path, body string, fields ...string) string {
	var got string
	require.Eventually(m.t, func() bool {
		req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, m.control, path), strings.NewReader(body))
		if err != nil {
			return false
		}
		for i := 0; i+1 < len(fields); i += 2 {
			req.Header.Set(fields[i], fields[i+1])
		}
		resp, err := m.client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		got = string(b)
		return resp.StatusCode == want
	}, patience, 20*time.Millisecond, "%s %s", method, path)
	return got
}

func (m *machine) ready() bool {
	resp, err := m.client.Get(fmt.Sprintf("http://%s:%d/chalkdoor/ready", m.ip, m.readiness))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func testConfig(revision int) string {
	return fmt.Sprintf(`{"revision":%d,"routes":[
	{"name":"a","hostname":"h.example","path-prefix":"/a/","route-kind":"unsafe","timeout-ms":10000,"setpoint-ms":500,"target-service":"s","max-attempts":1},
	{"name":"b","hostname":"h.example","path-prefix":"/b/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":500,"target-service":"s","max-attempts":1}],
	"services":[{"name":"s","health-path":"/health","later":[1,2]}],"limits":{"body-bytes":4194304}}`, revision)
}

// modelServer answers requests; of streams it sends the first event and then what it is told. It
// beats once.
type modelServer struct {
	more chan int // the number of the next event; 0 ends the stream
}

func (m *machine) modelServer(id string) *modelServer {
	s := &modelServer{more: make(chan int)}
	ln, err := net.Listen("tcp", m.ip+":0")
	require.NoError(m.t, err)
	srv := &http.Server{Handler: s}
	go srv.Serve(ln)
	m.t.Cleanup(func() { srv.Close() })
	m.call(200, "PUT", "/chalkdoor/instances/"+id, fmt.Sprintf(
		`{"target-service":"s","address":%q,"zone":"z","revision":"v1","slots":8,"state":"ready","cold-ms":0,"call-seq":1}`, ln.Addr()), "Content-Type", "application/json")
	return s
}

func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Chalkdoor-Attempt-Id", r.Header.Get("Chalkdoor-Attempt-Id"))
	w.Header().Set("Chalkdoor-Server-Seal", "seal")
	if !strings.HasPrefix(r.URL.Path, "/b/") {
		fmt.Fprintf(w, "served %s", r.URL.Path)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i > 0; i = <-s.more {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		w.(http.Flusher).Flush()
	}
}

// ask sends a request to the front on a connection of its own, which the caller closes.
func (m *machine) ask(path, id string) (*http.Response, func()) {
	c, err := net.Dial("tcp", net.JoinHostPort(m.ip, strconv.Itoa(m.front)))
	require.NoError(m.t, err)
	_ = c.SetDeadline(time.Now().Add(patience))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nChalkdoor-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", path, id)
	require.NoError(m.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(m.t, err)
	return resp, func() { c.Close() }
}

func TestOneProcess(t *testing.T) {
	m := newMachine(t)
	p := m.start()
	m.call(200, "PUT", "/chalkdoor/config", testConfig(5), "If-Match", "0", "Content-Type", "application/json")
	require.False(t, m.ready(), "ready without servers")
	s := m.modelServer("i-1")
	require.Eventually(t, m.ready, patience, 20*time.Millisecond)
	resp, done := m.ask("/a/x", "1")
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "seal", resp.Header.Get("Chalkdoor-Server-Seal"))
	b, _ := io.ReadAll(resp.Body)
	require.Equal(t, "served /a/x", string(b))
	done()

	// Another configuration is in force soon, and read back as it was sent.
	next := strings.Replace(testConfig(7), `"/a/"`, `"/c/"`, 1)
	m.call(412, "PUT", "/chalkdoor/config", next, "If-Match", "4", "Content-Type", "application/json")
	m.call(400, "PUT", "/chalkdoor/config", strings.Replace(next, `"target-service":"s"`, `"target-service":"x"`, 1), "If-Match", "5", "Content-Type", "application/json")
	m.call(200, "PUT", "/chalkdoor/config", next, "If-Match", "5", "Content-Type", "application/json")
	require.JSONEq(t, next, m.call(200, "GET", "/chalkdoor/config", ""))
	require.Eventually(t, func() bool { // the acknowledgement may come before it is in force here
		resp, done := m.ask("/c/x", "c")
		defer done()
		return resp.StatusCode == 200
	}, patience, 10*time.Millisecond)
	resp, done = m.ask("/a/x", "a")
	require.Equal(t, 404, resp.StatusCode)
	done()

	// The end: what is held is finished, what still comes is served, the entry is told.
	stream, done := m.ask("/b/x", "2")
	defer done()
	p.term()
	require.Eventually(t, func() bool { return !m.ready() }, patience, 5*time.Millisecond)
	resp, done = m.ask("/c/y", "3")
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	done()
	s.more <- 2
	s.more <- 0
	b, err := io.ReadAll(stream.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", string(b))
	p.end()

	// Another life has what was acknowledged, and the servers until their next beats.
	m.write(false)
	p = m.start()
	require.Eventually(t, m.ready, patience, 20*time.Millisecond)
	require.JSONEq(t, next, m.call(200, "GET", "/chalkdoor/config", ""))
	resp, done = m.ask("/c/x", "4")
	require.Equal(t, 200, resp.StatusCode)
	done()
	p.end()
}

// A process that ends says so to the entry before it does anything else.
func TestAnEndingProcessIsNotReady(t *testing.T) {
	m := newMachine(t)
	p := m.start()
	m.call(200, "PUT", "/chalkdoor/config", testConfig(5), "If-Match", "0", "Content-Type", "application/json")
	m.modelServer("i-1")
	require.Eventually(t, m.ready, patience, 20*time.Millisecond)
	p.d.ending.Store(true)
	require.True(t, p.d.door.Able(), "requests that still come are served")
	require.False(t, m.ready())
	p.end()
}

// Machines that leave together are taken out by the entry in time, though streams hold each of them.
func TestSeveralMachinesLeaveAtOnce(t *testing.T) {
	const (
		answered = time.Second     // the entry asks each second, and counts two misses
		counted  = 4 * time.Second // by then none may count as ready any more
	)
	machines := newMachines(t, 3)
	var processes []*process
	for _, m := range machines {
		processes = append(processes, m.start())
	}
	machines[0].call(200, "PUT", "/chalkdoor/config", testConfig(5), "If-Match", "0", "Content-Type", "application/json")
	server := machines[0].modelServer("i-1")
	var streams []*http.Response
	for _, m := range machines {
		require.Eventually(t, m.ready, patience, 20*time.Millisecond)
		stream, done := m.ask("/b/x", m.ip)
		defer done()
		require.Equal(t, 200, stream.StatusCode)
		streams = append(streams, stream)
	}
	anyReady := func() bool {
		return slices.ContainsFunc(machines, (*machine).ready)
	}
	begun := time.Now()
	for _, p := range processes {
		p.term()
	}
	require.Eventually(t, func() bool { return !anyReady() }, answered, 5*time.Millisecond)
	require.Never(t, anyReady, counted-time.Since(begun), 50*time.Millisecond)
	for _, p := range processes {
		require.Empty(t, p.ended, "ended under its stream")
	}
	close(server.more)
	for _, stream := range streams {
		body, err := io.ReadAll(stream.Body)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: x\n\n", string(body))
	}
	for _, p := range processes {
		p.end()
	}
}

// Streams that are longer than the grace are broken off, and the process ends within it.
func TestTheGraceOfAProcess(t *testing.T) {
	m := newMachine(t)
	p := m.start()
	m.call(200, "PUT", "/chalkdoor/config", testConfig(5), "If-Match", "0", "Content-Type", "application/json")
	s := m.modelServer("i-1")
	require.Eventually(t, m.ready, patience, 20*time.Millisecond)
	stream, done := m.ask("/b/x", "1")
	defer done()
	begun := time.Now()
	p.end()
	require.Less(t, time.Since(begun), 8*time.Second)
	b, err := io.ReadAll(stream.Body)
	require.Error(t, err, "it must not look whole")
	require.Equal(t, "id: 1\ndata: x\n\n", string(b))
	close(s.more)
}

func TestSettingsThatChange(t *testing.T) {
	m := newMachine(t)
	p := m.start()
	told := func() { // returns once the signal before has been dealt with
		for range 2 {
			select {
			case p.reload <- struct{}{}:
			case <-time.After(patience):
				require.FailNow(t, "the signal is not heard")
			}
		}
	}
	own := p.d.seeds()
	require.Len(t, own, 1)
	require.NoError(t, os.WriteFile(m.path, []byte("node-name = "), 0o600))
	told()
	require.Equal(t, own, p.d.seeds())
	require.NoError(t, os.Remove(m.path))
	told()
	require.Equal(t, own, p.d.seeds())
	m.seeds = `["127.0.0.1:1", "127.0.0.2:1"]`
	m.write(false)
	told()
	require.Equal(t, []string{fmt.Sprintf("127.0.0.1:%d", m.peer), fmt.Sprintf("127.0.0.2:%d", m.peer)}, p.d.seeds())
	// Also without a signal.
	m.seeds = `["127.0.0.3:1"]`
	m.write(false)
	require.Eventually(t, func() bool { return len(p.d.seeds()) == 1 }, patience, 20*time.Millisecond)
	p.end()
}

// A process that can't listen ends with an error that names the address, and leaves nothing behind.
func TestAnAddressThatIsTaken(t *testing.T) {
	for _, what := range []string{"front", "readiness", "control", "peer"} {
		m := newMachine(t)
		port := map[string]int{"front": m.front, "readiness": m.readiness, "control": m.control, "peer": m.peer}[what]
		addr := net.JoinHostPort(m.ip, strconv.Itoa(port))
		ln, err := net.Listen("tcp", addr)
		require.NoError(t, err)
		p := m.start()
		select {
		case err := <-p.ended:
			require.ErrorContains(t, err, addr)
			p.ended <- nil
		case <-time.After(patience):
			require.FailNow(t, "the process goes on", what)
		}
		require.NoError(t, ln.Close())
	}
}
