package membership

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// testTimeout bounds each wait. All are expected to end far sooner.
const testTimeout = 30 * time.Second

// recordingHandler records messages, states and members.
type recordingHandler struct {
	received chan string // messages with their kind as prefix, and states with the prefix "merged "
	mu       sync.Mutex  // guards members
	members  []Peer
	changed  chan struct{} // receives a value when members has changed
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{received: make(chan string, 1000), changed: make(chan struct{}, 1)}
}

func (e *recordingHandler) HandleMessage(kind Kind, body []byte) {
	e.received <- string(kind) + string(body)
}
func (e *recordingHandler) LocalState() []byte      { return []byte("state") }
func (e *recordingHandler) MergeState(state []byte) { e.received <- "merged " + string(state) }

func (e *recordingHandler) MembersChanged(list []Peer) {
	e.mu.Lock()
	e.members = list
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// waitForMembers blocks until there are n members, and returns them.
func (e *recordingHandler) waitForMembers(t *testing.T, n int) []Peer {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		e.mu.Lock()
		list := e.members
		e.mu.Unlock()
		if len(list) == n {
			return list
		}
		select {
		case <-e.changed:
		case <-timeout:
			t.Fatalf("members: %v, want %d", list, n)
		}
	}
}

// startGossip runs a peer on a free port. Its seeds include its own address.
func startGossip(t *testing.T, name, fleet string, seeds ...string) (p *Gossip, e *recordingHandler, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	e = newRecordingHandler()
	p = New(Config{Fleet: fleet, Name: name, Zone: "z-" + name, Region: "r", Role: "agent", Incarnation: 7, Bind: addr,
		Seeds: append(seeds, addr)}, e)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			if err := <-ended; err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	t.Cleanup(stop)
	return p, e, stop
}

// Peers find each other through one seed, know each other's metadata, exchange messages and states,
// and learn at once when one leaves gracefully.
func TestPeersJoinAndExchangeMessages(t *testing.T) {
	a, ea, _ := startGossip(t, "a", "k")
	b, eb, stop := startGossip(t, "b", "k", a.config.Bind)
	_, ec, _ := startGossip(t, "c", "k", a.config.Bind)
	for _, e := range []*recordingHandler{ea, eb, ec} {
		list := e.waitForMembers(t, 3)
		if p := list[1]; p.Name != "b" || p.Zone != "z-b" || p.Region != "r" || p.Role != "agent" ||
			p.Incarnation != 7 || p.Version != Version {
			t.Errorf("b is known as %+v", p)
		}
	}
	// Datagrams may be lost even on loopback, so the message is repeated.
	for got := false; !got; {
		b.Mailbox().Put(Send{To: "c", Kind: 'x', Body: []byte("hello")})
		select {
		case text := <-ec.received:
			if got = text == "xhello"; !got && text != "merged state" {
				t.Fatalf("got %q", text)
			}
		case <-time.After(100 * time.Millisecond):
		}
	}
	// A Sync exchanges states in both directions.
	for len(ea.received) > 0 {
		<-ea.received
	}
	b.Mailbox().Put(Sync{With: "a"})
	select {
	case text := <-ea.received:
		if text != "merged state" {
			t.Errorf("got %q", text)
		}
	case <-time.After(testTimeout):
		t.Error("no state was exchanged")
	}
	stop()
	ea.waitForMembers(t, 2)
	ec.waitForMembers(t, 2)
}

// logBuffer is a concurrency-safe buffer of log output.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

// A peer of another fleet is rejected and the reason is logged. Both fleets continue separately.
func TestPeerOfAnotherFleetIsRejected(t *testing.T) {
	var log logBuffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(old)
	a, ea, _ := startGossip(t, "a", "k")
	_, eb, _ := startGossip(t, "b", "other", a.config.Bind)
	for end := time.Now().Add(testTimeout); !log.contains(`fleet: peer belongs to`); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no reason in the log")
		}
	}
	ea.waitForMembers(t, 1)
	eb.waitForMembers(t, 1)
}

func TestInvalidInputIsRejected(t *testing.T) {
	type form struct{ A, B int }
	body, err := Encode(form{1, 2})
	if err != nil {
		t.Fatal(err)
	}
	var f form
	if err := Decode(body, &f); err != nil || f != (form{1, 2}) {
		t.Errorf("%+v, %v", f, err)
	}
	for _, bad := range [][]byte{nil, {0xc1}, []byte("x"), body[:len(body)-1], make([]byte, MaxState+1)} {
		if err := Decode(bad, &form{}); err == nil {
			t.Errorf("%d invalid bytes were decoded", len(bad))
		}
	}
	for key, cfg := range map[string]Config{
		"bind":      {Bind: "nowhere"},
		"advertise": {Bind: "127.0.0.1:1", Advertise: "x:1"},
	} {
		if err := New(cfg, newRecordingHandler()).Run(t.Context()); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%v, want one that names %s", err, key)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x92, 1, 2})
	f.Fuzz(func(t *testing.T, body []byte) {
		var m nodeMeta
		if err := Decode(body, &m); err == nil && len(fmt.Sprint(m)) > 16*MaxMessage {
			t.Error("the decoded metadata is much larger than a message")
		}
	})
}
