package rpc

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unlimited is a number of bytes that no exchange in these tests reaches.
const unlimited = 1 << 30

// linkFault describes the fault that a faultyLink injects into one connection.
type linkFault struct {
	request int  // number of bytes that are forwarded from the caller before the connection is cut
	answer  int  // number of bytes that are forwarded from the callee before the connection is cut
	reset   bool // whether the connection is then reset instead of closed
	repeat  bool // whether bytes from the callee are forwarded twice
}

// faultyLink is a proxy in front of a server that injects a fault into each connection.
type faultyLink struct {
	addr     string
	requests atomic.Int64 // number of bytes forwarded from callers
	answers  atomic.Int64 // number of bytes forwarded from the callee
}

// startFaultyLink starts a proxy that ends with the test. nextFault returns the fault of each new connection.
func startFaultyLink(t *testing.T, to string, nextFault func() linkFault) *faultyLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	link := &faultyLink{addr: listener.Addr().String()}
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { link.forward(c, to, nextFault()) })
		}
	})
	t.Cleanup(func() {
		assert.NoError(t, listener.Close())
		connections.Wait()
	})
	return link
}

// forward forwards one connection until a side closes it or the fault ends it.
func (l *faultyLink) forward(caller net.Conn, to string, fault linkFault) {
	defer caller.Close()
	callee, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer callee.Close()
	var copies sync.WaitGroup
	end := sync.OnceFunc(func() {
		if fault.reset {
			_ = caller.(*net.TCPConn).SetLinger(0)
			_ = callee.(*net.TCPConn).SetLinger(0)
		}
		_ = caller.Close()
		_ = callee.Close()
	})
	copies.Go(func() {
		defer end()
		copyBytes(callee, caller, fault.request, false, &l.requests)
	})
	copies.Go(func() {
		defer end()
		copyBytes(caller, callee, fault.answer, fault.repeat, &l.answers)
	})
	copies.Wait()
}

// copyBytes copies at most maxBytes, and adds their number to copied. If repeat is true, it writes each chunk
// twice.
func copyBytes(to, from net.Conn, maxBytes int, repeat bool, copied *atomic.Int64) {
	buf := make([]byte, 4<<10)
	for maxBytes > 0 {
		n, err := from.Read(buf[:min(len(buf), maxBytes)])
		copied.Add(int64(n)) // before the other side can act on them
		for range map[bool]int{false: 1, true: 2}[repeat] {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		maxBytes -= n
		if err != nil {
			return
		}
	}
}

// countingMux returns a mux with an echo call, and a map that counts its executions by request text.
func countingMux() (*Mux, *sync.Map) {
	runs := new(sync.Map)
	mux := NewMux()
	HandleUnary(mux, "echo", func(_ context.Context, request *testRequest) (*testResponse, error) {
		n, _ := runs.LoadOrStore(request.Text, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		return &testResponse{request.Text}, nil
	})
	return mux, runs
}

func runCount(runs *sync.Map, text string) int64 {
	n, ok := runs.Load(text)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

// A connection that is lost at any byte of an exchange affects that call alone: the call runs at most once and
// returns its own response or an error, and the next call of the pool gets its own response.
func TestConnectionLossAtEachByte(t *testing.T) {
	mux, runs := countingMux()
	server := startServer(t, mux)
	var nextFault atomic.Pointer[linkFault]
	nextFault.Store(&linkFault{request: unlimited, answer: unlimited})
	link := startFaultyLink(t, server.address, func() linkFault { return *nextFault.Load() })
	firstPool := NewPool()
	_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), firstPool, link.addr, "echo", &testRequest{Text: "0000"})
	require.NoError(t, err)
	requests, answers := int(link.requests.Load()), int(link.answers.Load())
	firstPool.Close()
	var faults []linkFault
	for _, reset := range []bool{false, true} {
		for n := range requests + 1 {
			faults = append(faults, linkFault{request: n, answer: unlimited, reset: reset})
		}
		for n := range answers + 1 {
			faults = append(faults, linkFault{request: unlimited, answer: n, reset: reset})
		}
	}
	t.Logf("%d bytes in a request, %d in its response, %d faults", requests, answers, len(faults))
	for i, fault := range faults {
		pool := NewPool()
		text, nextText := fmt.Sprintf("%04d", 2*i+1), fmt.Sprintf("%04d", 2*i+2)
		nextFault.Store(&fault)
		response, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), pool, link.addr, "echo", &testRequest{Text: text})
		if err == nil {
			require.Equal(t, text, response.Text, "%+v", fault)
		}
		nextFault.Store(&linkFault{request: unlimited, answer: unlimited})
		// An idle connection may turn out to be closed. Then this call fails as well, and a later one succeeds.
		for attempt := 0; ; attempt++ {
			response, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), pool, link.addr, "echo", &testRequest{Text: nextText})
			if err == nil {
				require.Equal(t, nextText, response.Text, "%+v", fault)
				break
			}
			require.Less(t, attempt, maxIdlePerPeer, "%+v: %v", fault, err)
		}
		require.LessOrEqual(t, runCount(runs, text), int64(1), "%+v", fault)
		pool.Close()
	}
}

// A response that arrives twice is not mistaken for the response of another call.
func TestDuplicateResponsesAreDropped(t *testing.T) {
	mux, runs := countingMux()
	server := startServer(t, mux)
	link := startFaultyLink(t, server.address, func() linkFault { return linkFault{request: unlimited, answer: unlimited, repeat: true} })
	pool := newTestPool(t) // closed before the proxy is
	answered := 0
	for i := range 200 {
		text := fmt.Sprint(i)
		response, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), pool, link.addr, "echo", &testRequest{Text: text})
		if err == nil {
			require.Equal(t, text, response.Text)
			answered++
		}
		require.LessOrEqual(t, runCount(runs, text), int64(1))
	}
	require.Positive(t, answered)
}

// Concurrent calls on reused connections get the responses of their own requests, even if calls are cancelled,
// time out or lose their connection at any moment.
func TestConcurrentCallersGetTheirOwnResponse(t *testing.T) {
	const callers, callsEach = 16, 100
	mux, runs := countingMux()
	server := startServer(t, mux)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(7, 11))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	link := startFaultyLink(t, server.address, func() linkFault {
		fault := linkFault{request: unlimited, answer: unlimited, reset: draw(2) == 0}
		if draw(2) == 0 {
			fault.answer = draw(2_000)
		} else {
			fault.request = draw(4_000)
		}
		return fault
	})
	pool := newTestPool(t) // closed before the proxy is
	var answered atomic.Int64
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range callsEach {
				text := fmt.Sprintf("%d of %d", i, caller)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				if draw(4) == 0 {
					time.AfterFunc(time.Duration(draw(500))*time.Microsecond, cancel)
				}
				response, err := Call[testRequest, testResponse](ctx, pool, link.addr, "echo", &testRequest{Text: text})
				if err == nil {
					answered.Add(1)
					assert.Equal(t, text, response.Text)
				}
				assert.LessOrEqual(t, runCount(runs, text), int64(1), "a call is never retried by this package")
				cancel()
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d calls were answered", answered.Load(), callers*callsEach)
	require.Positive(t, answered.Load())
}
