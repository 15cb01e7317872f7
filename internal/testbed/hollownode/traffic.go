package hollownode

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
)

// sessionCall is the call of the relays' sessions. Its callers are distinguished by their first message.
const sessionCall = "feed.session"

const (
	fromCore  = "/core"
	fromAgent = "/agent"
	// corePrefix is the prefix of the names of the core's machines.
	corePrefix = "core-"
	// maxCallName and maxHelloBytes bound the data of a frame that is buffered.
	maxCallName, maxHelloBytes = 64, 1 << 20
	// userTimeoutMs is the TCP_USER_TIMEOUT of accepted connections, which package rpc can't set on wrapped ones.
	userTimeoutMs = 1500
)

// Count is the traffic of one call, as the called process sees it.
type Count struct {
	Calls    int64 `msgpack:"c" json:"calls"`
	In       int64 `msgpack:"i" json:"messages-in"`
	Out      int64 `msgpack:"o" json:"messages-out"`
	BytesIn  int64 `msgpack:"a" json:"bytes-in"`
	BytesOut int64 `msgpack:"b" json:"bytes-out"`
}

func (c Count) plus(o Count) Count {
	return Count{c.Calls + o.Calls, c.In + o.In, c.Out + o.Out, c.BytesIn + o.BytesIn, c.BytesOut + o.BytesOut}
}

func (c Count) minus(o Count) Count {
	return Count{c.Calls - o.Calls, c.In - o.In, c.Out - o.Out, c.BytesIn - o.BytesIn, c.BytesOut - o.BytesOut}
}

// Messages is the number of messages in both directions.
func (c Count) Messages() int64 { return c.In + c.Out }

// Bytes is the number of bytes in both directions, without the headers of TCP and IP.
func (c Count) Bytes() int64 { return c.BytesIn + c.BytesOut }

// Traffic is the traffic by call.
type Traffic map[string]Count

func (t Traffic) minus(o Traffic) Traffic {
	out := Traffic{}
	for call, c := range t {
		if d := c.minus(o[call]); d != (Count{}) {
			out[call] = d
		}
	}
	return out
}

func (t Traffic) add(o Traffic) {
	for call, c := range o {
		t[call] = t[call].plus(c)
	}
}

// trafficCounter counts the traffic of the connections that a listener accepts. It may be used concurrently.
type trafficCounter struct {
	mu    sync.Mutex
	calls map[string]*callCounter
}

type callCounter struct{ calls, in, out, bytesIn, bytesOut atomic.Int64 }

func newTrafficCounter() *trafficCounter { return &trafficCounter{calls: map[string]*callCounter{}} }

func (t *trafficCounter) counterOf(call string) *callCounter {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[call]
	if c == nil {
		c = &callCounter{}
		t.calls[call] = c
	}
	return c
}

// snapshot is the traffic so far.
func (t *trafficCounter) snapshot() Traffic {
	t.mu.Lock()
	calls := maps.Clone(t.calls)
	t.mu.Unlock()
	out := Traffic{}
	for call, c := range calls {
		out[call] = Count{c.calls.Load(), c.in.Load(), c.out.Load(), c.bytesIn.Load(), c.bytesOut.Load()}
	}
	return out
}

func (t *trafficCounter) listener(ln net.Listener) net.Listener { return &countingListener{ln, t} }
