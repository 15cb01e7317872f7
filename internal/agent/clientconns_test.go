package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Hundreds of connections that send nothing do not exclude other clients: an idle connection stays usable, and a
// request on a new one is answered.
func TestSilentClientsDoNotExcludeOthers(t *testing.T) {
	agent, _ := startWithBackend(t, echo)
	doubleLimit := 2 * agent.loop.config.maxClientConns()
	idleConn := agent.dial()
	sendRequest := func(c net.Conn) error {
		fmt.Fprint(c, rawOrder("/api/a1", fmt.Sprint(lastID.Add(1)), "Content-Length: 0\r\n", ""))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && resp.StatusCode != 200 {
			err = fmt.Errorf("answered %d", resp.StatusCode)
		}
		return err
	}
	if err := sendRequest(idleConn); err != nil {
		t.Fatal(err)
	}
	for range 2 * doubleLimit {
		agent.dial()
	}
	if err := sendRequest(agent.dial()); err != nil {
		t.Errorf("a new connection: %v", err)
	}
	if err := sendRequest(idleConn); err != nil {
		t.Errorf("the idle connection: %v", err)
	}
}

// The client application may use a third of the descriptors. Clients that made one request and retain their
// connection do not use these up: the agent closes the oldest connections in time.
func TestOldestIdleClientsAreClosed(t *testing.T) {
	agent, _ := startWithBackend(t, echo)
	maxConns := agent.loop.config.Sockets / 3
	var conns []net.Conn
	for range maxConns {
		c := agent.dial()
		conns = append(conns, c)
		fmt.Fprint(c, rawOrder("/api/a1", fmt.Sprint(lastID.Add(1)), "Content-Length: 0\r\n", ""))
		br := bufio.NewReader(c)
		if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	// The oldest are closed well before idleTimeout would close them all.
	for _, c := range conns[:maxConns/8] {
		c.SetDeadline(time.Now().Add(idleTimeout / 2))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("an old connection stays open: %v", err)
		}
	}
}

// Connections that were silent for long are closed first, then idle ones, then new ones and those whose request
// is being read. A connection with an open request is never closed, and a connection that is being closed is not
// chosen again.
func TestOrderOfClosingClients(t *testing.T) {
	const maxConns = 16
	c := newClientConns(maxConns)
	names := map[net.Conn]string{}
	add := func(name string, states ...http.ConnState) net.Conn {
		x, y := net.Pipe()
		t.Cleanup(func() { y.Close() })
		names[x] = name
		for _, s := range append([]http.ConnState{http.StateNew}, states...) {
			c.track(x, s)
		}
		return x
	}
	closed := func() (got []string) {
		for x, name := range names {
			if x.SetDeadline(time.Now().Add(time.Hour)) != nil {
				got = append(got, name)
				delete(names, x)
			}
		}
		return got
	}
	silent := add("silent")
	c.conns[silent].since = time.Now().Add(-2 * newConnGrace)
	add("reading", http.StateActive)
	add("idle", http.StateActive, http.StateIdle)
	addBusy := func() {
		x := add("busy", http.StateActive)
		c.requestReceived(c.withConn(t.Context(), x))
	}
	for range maxConns - 4 {
		addBusy()
	}
	add("new")
	if got := closed(); len(got) != 0 {
		t.Fatalf("closed %v below the limit", got)
	}
	for _, want := range []string{"silent", "idle", "reading", "new"} {
		addBusy()
		if got := closed(); len(got) != 1 || got[0] != want {
			t.Errorf("closed %v, want %s", got, want)
		}
	}
	// If all other connections have an open request, a new connection is closed.
	add("last")
	if got := closed(); len(got) != 1 || got[0] != "last" {
		t.Errorf("closed %v, want last", got)
	}
}
