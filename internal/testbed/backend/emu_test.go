package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/backendmodel"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

const waitLimit = 20 * time.Second

var client = &http.Client{Timeout: waitLimit}

// serverRig is a server with one core and a queue for one request.
type serverRig struct {
	t      *testing.T
	server *Server
	log    *referee.Log
	url    string
}

// newRig starts a server whose requests take workMs of work each.
func newRig(t *testing.T, workMs float64, change func(*ServerConfig)) *serverRig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := referee.NewLog()
	cfg := ServerConfig{ID: "s", Zone: "a", Seed: 1, Model: backendmodel.Config{Cores: 1, Speed: 1, Queue: 1}}
	if change != nil {
		change(&cfg)
	}
	work := func(id string) (float64, referee.Effect, bool) {
		effect := referee.NonIdempotent
		if strings.HasPrefix(id, "k") {
			effect = referee.Deduplicated
		}
		return workMs, effect, id != "stranger"
	}
	s := NewServer(cfg, work, log, NewEffects(time.Hour))
	s.Serve(ln)
	t.Cleanup(func() {
		s.Close()
		ln.Close()
	})
	return &serverRig{t, s, log, "http://" + ln.Addr().String()}
}

func (r *serverRig) ask(id, key string) (*http.Response, string, error) {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.url+"/api/orders/7", strings.NewReader("{}"))
	if err != nil {
		r.t.Fatal(err)
	}
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

func (r *serverRig) status(id string) int {
	r.t.Helper()
	resp, _, err := r.ask(id, "")
	if err != nil {
		r.t.Fatal(err)
	}
	return resp.StatusCode
}

func (r *serverRig) count(k referee.Kind) (n int) {
	for _, e := range r.log.Events() {
		if e.Kind == k {
			n++
		}
	}
	return n
}

func TestServesRequestsOfClients(t *testing.T) {
	r := newRig(t, 5, nil)
	resp, text, err := r.ask("1", "")
	if err != nil || resp.StatusCode != http.StatusOK || text != Answer("1") {
		t.Errorf("%v, %q, %v", resp, text, err)
	}
	if got := []int{r.status("stranger"), r.status("")}; got[0] != 400 || got[1] != 404 {
		t.Errorf("status %d for an unknown id, %d without an id", got[0], got[1])
	}
	if r.count(referee.Ran) != 1 || r.count(referee.Ended) != 1 || r.count(referee.Attempted) != 1 {
		t.Errorf("events: %v", r.log.Events())
	}
}

// While one request runs and one waits, a third is rejected and does not run.
func TestRejectsRequestsWhenFull(t *testing.T) {
	r := newRig(t, 1e7, nil)
	for i := range 2 {
		go func() { _, _, _ = r.ask(fmt.Sprint(i), "") }() // ends when the server is closed
	}
	for end := time.Now().Add(waitLimit); r.server.Truth().Inflight < 2 || r.count(referee.Ran) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never full")
		}
	}
	resp, _, err := r.ask("third", "")
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Not-Started") != "1" {
		t.Errorf("%v, %v", resp, err)
	}
	if r.count(referee.Ran) != 2 {
		t.Errorf("%d ran", r.count(referee.Ran))
	}
}

func TestRepeatedKeyHasOneEffect(t *testing.T) {
	r := newRig(t, 1, nil)
	for i := range 3 {
		if resp, _, err := r.ask(fmt.Sprintf("k%d", i), "key"); err != nil || resp.StatusCode != 200 {
			t.Errorf("%v, %v", resp, err)
		}
	}
	if n := r.count(referee.Ran); n != 1 {
		t.Errorf("%d effects", n)
	}
}

func TestEffectsExpireAfterTheWindow(t *testing.T) {
	e := NewEffects(time.Second)
	for _, c := range []struct {
		at    time.Duration
		first bool
	}{{10 * time.Millisecond, true}, {time.Second, false}, {1011 * time.Millisecond, true}, {1900 * time.Millisecond, false}} {
		if got := e.First("k", c.at); got != c.first {
			t.Errorf("at %v: %v", c.at, got)
		}
	}
	for i := range 100 {
		e.First(fmt.Sprint(i), time.Minute+2*time.Second*time.Duration(i))
	}
	if len(e.lastEffect) > 3 {
		t.Errorf("%d keys remembered", len(e.lastEffect))
	}
}

func TestFaults(t *testing.T) {
	r := newRig(t, 1, nil)
	for name, c := range map[string]struct {
		faults Faults
		ok     func(resp *http.Response, text string, err error) bool
	}{
		"errors": {Faults{Errors: 1}, func(resp *http.Response, _ string, err error) bool { return err == nil && resp.StatusCode == 500 }},
		"spoilt": {Faults{Malformed: 1}, func(_ *http.Response, _ string, err error) bool {
			return err != nil && strings.Contains(err.Error(), "malformed")
		}},
		"lost": {Faults{Lost: 1}, func(_ *http.Response, _ string, err error) bool { return err != nil }},
		"none": {Faults{}, func(resp *http.Response, text string, err error) bool { return err == nil && text == Answer("x") }},
	} {
		r.server.SetFaults(c.faults)
		if resp, text, err := r.ask("x", ""); !c.ok(resp, text, err) {
			t.Errorf("%s: %v, %q, %v", name, resp, text, err)
		}
	}
}

func TestProbesReportTheLoad(t *testing.T) {
	r := newRig(t, 1, func(c *ServerConfig) { c.Noise = 0.1 })
	resp, err := client.Get(r.url + "/-/load")
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || !strings.HasPrefix(string(text), "inflight=0,util=0.000,latency_ms=") {
		t.Errorf("%q, %v", text, err)
	}
	if n := r.server.Stats().Probes; n != 1 {
		t.Errorf("%d probes counted", n)
	}
}

// A restarted server is cold, and serves.
func TestRestartIsCold(t *testing.T) {
	r := newRig(t, 1, func(c *ServerConfig) { c.Model.SlowStartFloor, c.Model.SlowStartMs = 0.25, 1e9 })
	warm := r.server.Truth().Capacity
	r.server.Restart()
	if cold := r.server.Truth().Capacity; cold > 0.26*warm {
		t.Errorf("capacity %v after the restart, %v before", cold, warm)
	}
	if r.status("1") != 200 {
		t.Error("the restarted server does not serve")
	}
}

// viewRig is a view of two servers.
type viewRig struct {
	t    *testing.T
	view *View
	log  *referee.Log
}

func newView(t *testing.T) *viewRig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := referee.NewLog()
	v := NewView("n1", log, []Target{{ID: "s-1", State: Up}, {ID: "s-2", State: Up}}, ln)
	t.Cleanup(v.Close)
	return &viewRig{t, v, log}
}

func (r *viewRig) get(query string) (l List, status int) {
	r.t.Helper()
	resp, err := client.Get("http://" + r.view.Addr() + "/api/targets" + query)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == 200 {
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			r.t.Fatal(err)
		}
	}
	return l, resp.StatusCode
}

func TestListAndWatch(t *testing.T) {
	r := newView(t)
	if l, _ := r.get(""); !l.Full || l.Version != 1 || len(l.Servers) != 2 {
		t.Errorf("full list: %+v", l)
	}
	got := make(chan List, 1)
	go func() {
		l, _ := r.get("?index=1&wait=20000")
		got <- l
	}()
	for r.view.Calls() < 2 {
		time.Sleep(time.Millisecond) // until the watch has arrived
	}
	r.view.Announce(Target{ID: "s-2", State: Draining})
	if l := <-got; l.Full || l.Version != 2 || len(l.Servers) != 1 || l.Servers[0].State != Draining {
		t.Errorf("after the change: %+v", l)
	}
	if l, _ := r.get("?index=2&wait=1"); l.Full || len(l.Servers) != 0 || l.Version != 2 {
		t.Errorf("without a change: %+v", l)
	}
	r.view.Announce(Target{ID: "s-2", State: Removed})
	if l, _ := r.get(""); len(l.Servers) != 1 {
		t.Errorf("a removed server is listed: %+v", l)
	}
	if _, status := r.get("?index=x&wait=1"); status != 400 {
		t.Errorf("status %d for a bad index", status)
	}
	notified := 0
	for _, e := range r.log.Events() {
		if e.Kind == referee.Notified && e.Server == "s-2" && e.State == Draining {
			notified++
		}
	}
	if notified != 1 {
		t.Errorf("%d notifications that s-2 drains, want 1", notified)
	}
}

func TestFrozenAndUnresponsiveViews(t *testing.T) {
	r := newView(t)
	r.view.SetFrozen(true)
	r.view.Announce(Target{ID: "s-1", State: Draining})
	if l, _ := r.get(""); l.Version != 1 || l.Servers[0].State != Up || l.Servers[1].State != Up {
		t.Errorf("while frozen: %+v", l)
	}
	r.view.SetFrozen(false)
	if l, _ := r.get("?index=1&wait=1"); len(l.Servers) != 1 || l.Servers[0].State != Draining {
		t.Errorf("after it was unfrozen: %+v", l)
	}
	r.view.SetUnresponsive(true)
	got := make(chan List, 1)
	go func() {
		l, _ := r.get("")
		got <- l
	}()
	select {
	case l := <-got:
		t.Errorf("answered while unresponsive: %+v", l)
	case <-time.After(50 * time.Millisecond):
	}
	r.view.SetUnresponsive(false)
	if l := <-got; len(l.Servers) != 2 {
		t.Errorf("after it responds again: %+v", l)
	}
}

// An idle connection takes no place in the queue of a server whose handshakes cost no work.
func TestIdleConnectionIsNotQueued(t *testing.T) {
	r := newRig(t, 1e7, nil)
	waitFor := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(waitLimit); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never %s", what)
			}
		}
	}
	go func() { _, _, _ = r.ask("0", "") }() // ends when the server is closed
	waitFor("in flight", func() bool { return r.server.Truth().Inflight == 1 })
	before := r.server.Stats().Connections
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	waitFor("connected", func() bool { return r.server.Stats().Connections > before })
	if got := r.server.Truth().Inflight; got != 1 {
		t.Errorf("%d requests in flight with an idle connection, want 1", got)
	}
}

// An agent that starts while discovery is unresponsive gets the list from before that.
func TestKnownListOfUnresponsiveView(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := NewView("n1", referee.NewLog(), []Target{{ID: "s-1", State: Up}}, ln)
	defer v.Close()
	v.SetUnresponsive(true)
	v.Announce(Target{ID: "s-1", State: Draining})
	if l := v.Known(); l.Servers[0].State != Up {
		t.Errorf("list while unresponsive: %+v", l)
	}
	v.SetUnresponsive(false)
	if l := v.Known(); l.Servers[0].State != Draining {
		t.Errorf("list after it responds again: %+v", l)
	}
}
