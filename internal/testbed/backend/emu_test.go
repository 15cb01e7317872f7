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

const patience = 20 * time.Second

var client = &http.Client{Timeout: patience}

// rig is a server of one core, with room for one that waits, whose requests take so long.
type rig struct {
	t   *testing.T
	s   *Server
	log *referee.Log
	url string
}

func newRig(t *testing.T, workMs float64, change func(*ServerConfig)) *rig {
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
		effect := referee.Once
		if strings.HasPrefix(id, "k") {
			effect = referee.Keyed
		}
		return workMs, effect, id != "stranger"
	}
	s := NewServer(cfg, work, log, NewEffects(time.Hour))
	s.Serve(ln)
	t.Cleanup(func() {
		s.Close()
		ln.Close()
	})
	return &rig{t, s, log, "http://" + ln.Addr().String()}
}

func (r *rig) ask(id, key string) (*http.Response, string, error) {
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

func (r *rig) status(id string) int {
	r.t.Helper()
	resp, _, err := r.ask(id, "")
	if err != nil {
		r.t.Fatal(err)
	}
	return resp.StatusCode
}

func (r *rig) count(k referee.Kind) (n int) {
	for _, e := range r.log.Events() {
		if e.Kind == k {
			n++
		}
	}
	return n
}

func TestServesWhatClientsSent(t *testing.T) {
	r := newRig(t, 5, nil)
	resp, text, err := r.ask("1", "")
	if err != nil || resp.StatusCode != http.StatusOK || text != Answer("1") {
		t.Errorf("%v, %q, %v", resp, text, err)
	}
	if got := []int{r.status("stranger"), r.status("")}; got[0] != 400 || got[1] != 404 {
		t.Errorf("a stranger's request: %d, one without id: %d", got[0], got[1])
	}
	if r.count(referee.Ran) != 1 || r.count(referee.Ended) != 1 || r.count(referee.Attempted) != 1 {
		t.Errorf("seen: %v", r.log.Events())
	}
}

// With one at work and one that waits a third is turned away, unseen.
func TestTurnsAwayWhatItHasNoRoomFor(t *testing.T) {
	r := newRig(t, 1e7, nil)
	for i := range 2 {
		go func() { _, _, _ = r.ask(fmt.Sprint(i), "") }() // ended by the server's end
	}
	for end := time.Now().Add(patience); r.s.Truth().Inflight < 2 || r.count(referee.Ran) < 2; time.Sleep(time.Millisecond) {
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

func TestARepeatedKeyHasOneEffect(t *testing.T) {
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

func TestEffectsAreForgottenAfterTheirWindow(t *testing.T) {
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
	if len(e.at) > 3 {
		t.Errorf("%d keys remembered", len(e.at))
	}
}

func TestFaults(t *testing.T) {
	r := newRig(t, 1, nil)
	for name, c := range map[string]struct {
		f  Faults
		ok func(resp *http.Response, text string, err error) bool
	}{
		"errors": {Faults{Errors: 1}, func(resp *http.Response, _ string, err error) bool { return err == nil && resp.StatusCode == 500 }},
		"spoilt": {Faults{Spoilt: 1}, func(_ *http.Response, _ string, err error) bool {
			return err != nil && strings.Contains(err.Error(), "malformed")
		}},
		"lost": {Faults{Lost: 1}, func(_ *http.Response, _ string, err error) bool { return err != nil }},
		"none": {Faults{}, func(resp *http.Response, text string, err error) bool { return err == nil && text == Answer("x") }},
	} {
		r.s.Fault(c.f)
		if resp, text, err := r.ask("x", ""); !c.ok(resp, text, err) {
			t.Errorf("%s: %v, %q, %v", name, resp, text, err)
		}
	}
}

func TestProbesTellTheLoad(t *testing.T) {
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
	if n := r.s.Stats().Probes; n != 1 {
		t.Errorf("%d probes counted", n)
	}
}

// A server's next life is cold and knows nothing of what the old one held.
func TestRestartIsCold(t *testing.T) {
	r := newRig(t, 1, func(c *ServerConfig) { c.Model.ColdFrom, c.Model.ColdMs = 0.25, 1e9 })
	warm := r.s.Truth().Capacity
	r.s.Restart()
	if cold := r.s.Truth().Capacity; cold > 0.26*warm {
		t.Errorf("capacity %v after the start, %v before", cold, warm)
	}
	if r.status("1") != 200 {
		t.Error("does not serve")
	}
}

// ---- discovery ----

type viewRig struct {
	t   *testing.T
	v   *View
	log *referee.Log
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
	resp, err := client.Get("http://" + r.v.Addr() + "/api/targets" + query)
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
		t.Errorf("whole list: %+v", l)
	}
	got := make(chan List, 1)
	go func() {
		l, _ := r.get("?index=1&wait=20000")
		got <- l
	}()
	for r.v.Calls() < 2 {
		time.Sleep(time.Millisecond) // until the watch is there
	}
	r.v.Tell(Target{ID: "s-2", State: Draining})
	if l := <-got; l.Full || l.Version != 2 || len(l.Servers) != 1 || l.Servers[0].State != Draining {
		t.Errorf("the change: %+v", l)
	}
	if l, _ := r.get("?index=2&wait=1"); l.Full || len(l.Servers) != 0 || l.Version != 2 {
		t.Errorf("no change: %+v", l)
	}
	r.v.Tell(Target{ID: "s-2", State: Removed})
	if l, _ := r.get(""); len(l.Servers) != 1 {
		t.Errorf("what was removed is listed: %+v", l)
	}
	if _, status := r.get("?index=x&wait=1"); status != 400 {
		t.Errorf("status %d for a bad index", status)
	}
	told := 0
	for _, e := range r.log.Events() {
		if e.Kind == referee.Told && e.Server == "s-2" && e.State == Draining {
			told++
		}
	}
	if told != 1 {
		t.Errorf("told %d times that s-2 drains", told)
	}
}

func TestFrozenAndSilentViews(t *testing.T) {
	r := newView(t)
	r.v.Freeze(true)
	r.v.Tell(Target{ID: "s-1", State: Draining})
	if l, _ := r.get(""); l.Version != 1 || l.Servers[0].State != Up || l.Servers[1].State != Up {
		t.Errorf("while frozen: %+v", l)
	}
	r.v.Freeze(false)
	if l, _ := r.get("?index=1&wait=1"); len(l.Servers) != 1 || l.Servers[0].State != Draining {
		t.Errorf("after: %+v", l)
	}
	r.v.Silence(true)
	got := make(chan List, 1)
	go func() {
		l, _ := r.get("")
		got <- l
	}()
	select {
	case l := <-got:
		t.Errorf("answered while silent: %+v", l)
	case <-time.After(50 * time.Millisecond):
	}
	r.v.Silence(false)
	if l := <-got; len(l.Servers) != 2 {
		t.Errorf("after silence: %+v", l)
	}
}

// A connection on which nothing is asked takes no place in the queue of a server whose
// handshakes are no work.
func TestAnIdleConnectionTakesNoPlace(t *testing.T) {
	r := newRig(t, 1e7, nil)
	until := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(patience); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never %s", what)
			}
		}
	}
	go func() { _, _, _ = r.ask("0", "") }() // ended by the server's end
	until("at work", func() bool { return r.s.Truth().Inflight == 1 })
	made := r.s.Stats().Connections
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	until("connected", func() bool { return r.s.Stats().Connections > made })
	if got := r.s.Truth().Inflight; got != 1 {
		t.Errorf("%d in flight by a connection that asks nothing", got)
	}
}

// Who starts while discovery is silent is given the list as it was before.
func TestTheListOfASilentView(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := NewView("n1", referee.NewLog(), []Target{{ID: "s-1", State: Up}}, ln)
	defer v.Close()
	v.Silence(true)
	v.Tell(Target{ID: "s-1", State: Draining})
	if l := v.Known(); l.Servers[0].State != Up {
		t.Errorf("known while silent: %+v", l)
	}
	v.Silence(false)
	if l := v.Known(); l.Servers[0].State != Draining {
		t.Errorf("known after it: %+v", l)
	}
}
