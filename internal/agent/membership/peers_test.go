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

// patience bounds waits; none needs more than a part of it.
const patience = 30 * time.Second

// ear notes what peers bring.
type ear struct {
	got     chan string
	mu      sync.Mutex
	there   []Peer
	changed chan struct{}
}

func newEar() *ear { return &ear{got: make(chan string, 1000), changed: make(chan struct{}, 1)} }

func (e *ear) Got(kind Kind, body []byte) { e.got <- string(kind) + string(body) }
func (e *ear) State() []byte              { return []byte("state") }
func (e *ear) Merge(state []byte)         { e.got <- "merged " + string(state) }

func (e *ear) Members(list []Peer) {
	e.mu.Lock()
	e.there = list
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// sees waits until so many are there.
func (e *ear) sees(t *testing.T, n int) []Peer {
	t.Helper()
	over := time.After(patience)
	for {
		e.mu.Lock()
		list := e.there
		e.mu.Unlock()
		if len(list) == n {
			return list
		}
		select {
		case <-e.changed:
		case <-over:
			t.Fatalf("%v are there, want %d", list, n)
		}
	}
}

// start runs a peer at a free port; the first one's address is the others' seed.
func start(t *testing.T, name, fleet string, seeds ...string) (p *Peers, e *ear, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	e = newEar()
	p = New(Config{Fleet: fleet, Name: name, Zone: "z-" + name, Region: "r", Role: "agent", Boot: 7, Bind: addr, Seeds: append(seeds, addr)}, e)
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

// Peers find each other through one seed, know zone and life of each, carry messages, and see
// one that leaves in order go at once.
func TestPeersFindEachOtherAndTalk(t *testing.T) {
	a, ea, _ := start(t, "a", "k")
	b, eb, stop := start(t, "b", "k", a.cfg.Bind)
	_, ec, _ := start(t, "c", "k", a.cfg.Bind)
	for _, e := range []*ear{ea, eb, ec} {
		list := e.sees(t, 3)
		if p := list[1]; p.Name != "b" || p.Zone != "z-b" || p.Region != "r" || p.Role != "agent" || p.Boot != 7 || p.Version != Version {
			t.Errorf("b is known as %+v", p)
		}
	}
	// Datagrams may be lost, also on this machine.
	for got := false; !got; {
		b.Mailbox().Put(Send{To: "c", Kind: 'x', Body: []byte("hello")})
		select {
		case text := <-ec.got:
			if got = text == "xhello"; !got && text != "merged state" {
				t.Fatalf("got %q", text)
			}
		case <-time.After(100 * time.Millisecond):
		}
	}
	// States are exchanged whenever one asks, both ways.
	for len(ea.got) > 0 {
		<-ea.got
	}
	b.Mailbox().Put(Sync{With: "a"})
	select {
	case text := <-ea.got:
		if text != "merged state" {
			t.Errorf("got %q", text)
		}
	case <-time.After(patience):
		t.Error("no state was exchanged")
	}
	stop()
	ea.sees(t, 2)
	ec.sees(t, 2)
}

// lines collects the log.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

// Another fleet is turned away with a reason, and both go on by themselves.
func TestAnotherFleetIsTurnedAway(t *testing.T) {
	var log lines
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(old)
	a, ea, _ := start(t, "a", "k")
	_, eb, _ := start(t, "b", "other", a.cfg.Bind)
	for end := time.Now().Add(patience); !log.has(`fleet: it is of`); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no reason in the log")
		}
	}
	ea.sees(t, 1)
	eb.sees(t, 1)
}

func TestWhatIsNoMessageIsAnError(t *testing.T) {
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
			t.Errorf("%d bytes were taken for a message", len(bad))
		}
	}
	for key, cfg := range map[string]Config{"bind": {Bind: "nowhere"}, "advertise": {Bind: "127.0.0.1:1", Advertise: "x:1"}} {
		if err := New(cfg, newEar()).Run(t.Context()); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%v, want one that names %s", err, key)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x92, 1, 2})
	f.Fuzz(func(t *testing.T, body []byte) {
		var m meta
		if err := Decode(body, &m); err == nil && len(fmt.Sprint(m)) > 16*MaxMessage {
			t.Error("a message grew")
		}
	})
}
