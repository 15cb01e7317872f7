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

// Scenario roll+mass: an agent that was stopped closed an idle connection just when the head of the
// next request on it had been read. The request was forwarded, and its client sent it again.
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
		if state == http.StateActive { // the head is read, its handler is next
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
	if got, _ := io.ReadAll(c); len(got) > 0 { // however it ends
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

func TestCloseWaitsForTheAnswer(t *testing.T) {
	near, far := net.Pipe()
	var held atomic.Int64
	c := http1.NewClientConn(near, &held)
	if !c.BeginRequest() || held.Load() != 1 {
		t.Fatal("an open connection takes no request")
	}
	if err := c.Close(); err != nil || !c.CloseRequested() {
		t.Fatalf("closing: %v, noted %v", err, c.CloseRequested())
	}
	wrote := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("a"))
		c.EndRequest()
		c.Close()
		wrote <- err
	}()
	if got, err := io.ReadAll(far); err != nil || string(got) != "a" {
		t.Errorf("the client got %q, %v; want its answer and the end", got, err)
	}
	if err := <-wrote; err != nil {
		t.Errorf("answer on a connection to be closed: %v", err)
	}
	if c.BeginRequest() || held.Load() != 0 {
		t.Errorf("closed, but takes a request; %d held", held.Load())
	}
}
