package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"chalkdoor.example/chalkdoor/internal/http1"
)

// Found in scenario roll+mass: an agent that was stopped closed an idle connection just after it had read the
// head of the next request. The request was forwarded although its client sent it again.
func TestRequestOnAClosedConnectionIsNotForwarded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := testConfig(ln.Addr().String(), "127.0.0.1:1", TargetList{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := newFrontend(cfg)
	if f.loop, err = newEventLoop(ctx, cfg, func() {}); err != nil { // it does not run
		t.Fatal(err)
	}
	f.server.ConnState = func(nc net.Conn, state http.ConnState) {
		if state == http.StateActive { // the head is read and the handler is called next
			nc.Close()
		}
		f.conns.track(nc, state)
	}
	served := make(chan error, 1)
	go func() { served <- f.serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := newRequest(ln.Addr().String(), "order", "x").Write(c); err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(c); len(got) > 0 { // with or without an error
		t.Errorf("answered %q on a closed connection", got)
	}
	if err := f.server.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
	if n := len(f.loop.inbox); n > 0 {
		t.Errorf("%d requests of a closed connection were forwarded", n)
	}
}

func TestCloseWaitsForTheResponse(t *testing.T) {
	server, client := net.Pipe()
	var inFlight atomic.Int64
	c := http1.NewClientConn(server, &inFlight)
	if !c.BeginRequest() || inFlight.Load() != 1 {
		t.Fatal("an open connection accepts no request")
	}
	if err := c.Close(); err != nil || !c.CloseRequested() {
		t.Fatalf("Close: %v, CloseRequested: %v", err, c.CloseRequested())
	}
	wrote := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("a"))
		c.EndRequest()
		c.Close()
		wrote <- err
	}()
	if got, err := io.ReadAll(client); err != nil || string(got) != "a" {
		t.Errorf("the client got %q, %v; want the response and the end of the connection", got, err)
	}
	if err := <-wrote; err != nil {
		t.Errorf("response on a connection to be closed: %v", err)
	}
	if c.BeginRequest() || inFlight.Load() != 0 {
		t.Errorf("the closed connection accepts a request or counts as in flight: %d", inFlight.Load())
	}
}
