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

// unlimited is a bound that no exchange of these tests reaches.
const unlimited = 1 << 30

// linkFault is what a faulty link does to one connection.
type linkFault struct {
	request int  // bytes of the caller that get through
	answer  int  // bytes of the callee that get through
	reset   bool // the connection is reset after that, in place of closed
	repeat  bool // what the callee sends comes twice
}

// faultyLink passes connections on to a peer; a fault is asked for at the begin of each.
type faultyLink struct {
	addr     string
	requests atomic.Int64 // bytes of callers that were passed on
	answers  atomic.Int64 // bytes of the callee that were passed on
}

// startFaultyLink listens until the test ends.
func startFaultyLink(t *testing.T, to string, next func() linkFault) *faultyLink {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	link := &faultyLink{addr: ln.Addr().String()}
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { link.forward(c, to, next()) })
		}
	})
	t.Cleanup(func() {
		assert.NoError(t, ln.Close())
		connections.Wait()
	})
	return link
}

// forward passes one connection on until one of its ends or its fault ends it.
func (l *faultyLink) forward(caller net.Conn, to string, f linkFault) {
	defer caller.Close()
	callee, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer callee.Close()
	var copies sync.WaitGroup
	end := sync.OnceFunc(func() {
		if f.reset {
			_ = caller.(*net.TCPConn).SetLinger(0)
			_ = callee.(*net.TCPConn).SetLinger(0)
		}
		_ = caller.Close()
		_ = callee.Close()
	})
	copies.Go(func() {
		defer end()
		copyBytes(callee, caller, f.request, false, &l.requests)
	})
	copies.Go(func() {
		defer end()
		copyBytes(caller, callee, f.answer, f.repeat, &l.answers)
	})
	copies.Wait()
}

// copyBytes copies up to most bytes, each piece twice where repeat says so, and counts them.
func copyBytes(to, from net.Conn, most int, repeat bool, passed *atomic.Int64) {
	buf := make([]byte, 4<<10)
	for most > 0 {
		n, err := from.Read(buf[:min(len(buf), most)])
		passed.Add(int64(n)) // before the other side can act on them
		for range map[bool]int{false: 1, true: 2}[repeat] {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		most -= n
		if err != nil {
			return
		}
	}
}

// countingMux declares a call that echoes and counts how often each question ran.
func countingMux() (*Mux, *sync.Map) {
	ran := new(sync.Map)
	t := NewMux()
	HandleUnary(t, "echo", func(_ context.Context, q *testRequest) (*testResponse, error) {
		n, _ := ran.LoadOrStore(q.Text, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		return &testResponse{q.Text}, nil
	})
	return t, ran
}

func runCount(ran *sync.Map, text string) int64 {
	n, ok := ran.Load(text)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

// A connection that ends at any byte of an exchange loses at most that exchange: its call runs at most
// once and ends with its own answer or an error, and the next call of the pool gets its own answer.
func TestConnectionLossAtEachByte(t *testing.T) {
	table, ran := countingMux()
	at := startServer(t, table)
	var next atomic.Pointer[linkFault]
	next.Store(&linkFault{request: unlimited, answer: unlimited})
	link := startFaultyLink(t, at.address, func() linkFault { return *next.Load() })
	one := NewPool()
	_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), one, link.addr, "echo", &testRequest{Text: "0000"})
	require.NoError(t, err)
	requests, answers := int(link.requests.Load()), int(link.answers.Load())
	one.Close()
	var faults []linkFault
	for _, reset := range []bool{false, true} {
		for n := range requests + 1 {
			faults = append(faults, linkFault{request: n, answer: unlimited, reset: reset})
		}
		for n := range answers + 1 {
			faults = append(faults, linkFault{request: unlimited, answer: n, reset: reset})
		}
	}
	t.Logf("%d bytes of a question, %d of its answer, %d faults", requests, answers, len(faults))
	for i, f := range faults {
		p := NewPool()
		text, after := fmt.Sprintf("%04d", 2*i+1), fmt.Sprintf("%04d", 2*i+2)
		next.Store(&f)
		a, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), p, link.addr, "echo", &testRequest{Text: text})
		if err == nil {
			require.Equal(t, text, a.Text, "%+v", f)
		}
		next.Store(&linkFault{request: unlimited, answer: unlimited})
		// A kept connection may be found to have ended: that call is lost, too, and the next one is not.
		for try := 0; ; try++ {
			a, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), p, link.addr, "echo", &testRequest{Text: after})
			if err == nil {
				require.Equal(t, after, a.Text, "%+v", f)
				break
			}
			require.Less(t, try, maxIdlePerPeer, "%+v: %v", f, err)
		}
		require.LessOrEqual(t, runCount(ran, text), int64(1), "%+v", f)
		p.Close()
	}
}

// An answer that comes twice is nobody else's: the connection ends, or the second one is passed over.
func TestDuplicateResponsesAreDropped(t *testing.T) {
	table, ran := countingMux()
	at := startServer(t, table)
	link := startFaultyLink(t, at.address, func() linkFault { return linkFault{request: unlimited, answer: unlimited, repeat: true} })
	p := newTestPool(t) // closed before the link is
	good := 0
	for i := range 200 {
		text := fmt.Sprint(i)
		a, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), p, link.addr, "echo", &testRequest{Text: text})
		if err == nil {
			require.Equal(t, text, a.Text)
			good++
		}
		require.LessOrEqual(t, runCount(ran, text), int64(1))
	}
	require.Positive(t, good)
}

// Calls that are cancelled, time out or lose their connection at any moment, many at once, on
// connections that are used again: each answer that comes is the one to the question that was asked.
func TestConcurrentCallersGetTheirOwnResponse(t *testing.T) {
	const callers, each = 16, 100
	table, ran := countingMux()
	at := startServer(t, table)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(7, 11))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	link := startFaultyLink(t, at.address, func() linkFault {
		f := linkFault{request: unlimited, answer: unlimited, reset: draw(2) == 0}
		if draw(2) == 0 {
			f.answer = draw(2_000)
		} else {
			f.request = draw(4_000)
		}
		return f
	})
	p := newTestPool(t) // closed before the link is
	var good atomic.Int64
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range each {
				text := fmt.Sprintf("%d of %d", i, caller)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				if draw(4) == 0 {
					time.AfterFunc(time.Duration(draw(500))*time.Microsecond, cancel)
				}
				a, err := Call[testRequest, testResponse](ctx, p, link.addr, "echo", &testRequest{Text: text})
				if err == nil {
					good.Add(1)
					assert.Equal(t, text, a.Text)
				}
				assert.LessOrEqual(t, runCount(ran, text), int64(1), "a call is never sent again by itself")
				cancel()
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d calls were answered", good.Load(), callers*each)
	require.Positive(t, good.Load())
}
