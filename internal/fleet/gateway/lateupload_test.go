package gateway

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// earlyResponder is a server that responds to a request with a long body before it has read the body, which it
// reads once readRest is closed.
type earlyResponder struct {
	readRest chan struct{}
	received chan string   // bodies that were read after the response
	conns    chan net.Conn // connections of the requests, in order
}

func newEarlyResponder() *earlyResponder {
	return &earlyResponder{readRest: make(chan struct{}), received: make(chan string, 1), conns: make(chan net.Conn, 8)}
}

func (s *earlyResponder) handle(t *testing.T) func(*pendingUpload) {
	return func(upload *pendingUpload) {
		s.conns <- upload.Conn
		if upload.length < longBodyBytes {
			_, _ = upload.read(upload.length)
			upload.respond(200, sealField, "small")
			return
		}
		upload.respond(200, sealField, "early")
		select {
		case <-s.readRest:
		case <-t.Context().Done():
			return
		}
		body, _ := upload.read(upload.length)
		s.received <- body
	}
}

// awaitConns waits until the gateway has wantOpen open connections to servers, of which wantIdle are idle.
func (h *testHarness) awaitConns(wantOpen, wantIdle int) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		open, idle := h.gateway.pool.conns.Count()
		return open == wantOpen && idle == wantIdle
	}, testTimeout, time.Millisecond)
}

// TestConnectionIsUsedOnAfterALateUpload checks that a server that responds early and then reads the rest of the body
// gets all of it, and the next request on the same connection.
func TestConnectionIsUsedOnAfterALateUpload(t *testing.T) {
	server := newEarlyResponder()
	harness := newUploadHarness(t, 1, server.handle(t))
	body := bytes.Repeat([]byte("0123456789abcdef"), longBodyBytes/16)
	_, got := harness.roundTrip(postRequest("/once/x", "", string(body)))
	require.Equal(t, "early", got)
	firstConn := <-server.conns
	close(server.readRest)
	require.Equal(t, string(body), <-server.received)
	harness.awaitConns(1, 1)
	_, got = harness.roundTrip(postRequest("/once/x", "", "q"))
	require.Equal(t, "small", got)
	require.Same(t, firstConn, <-server.conns)
	harness.requireMemoryReleased()
}

// TestUnreadUploadOccupiesItsConnection checks that a connection carries no other request while the server has not
// read the rest of a body, and that it is closed with the gateway.
func TestUnreadUploadOccupiesItsConnection(t *testing.T) {
	server := newEarlyResponder()
	harness := newUploadHarness(t, 1, server.handle(t))
	_, got := harness.roundTrip(postRequest("/once/x", "", string(make([]byte, longBodyBytes))))
	require.Equal(t, "early", got)
	firstConn := <-server.conns
	_, got = harness.roundTrip(postRequest("/once/x", "", "q"))
	require.Equal(t, "small", got)
	require.NotSame(t, firstConn, <-server.conns)
	harness.gateway.lateUploads.closeAll()
	harness.awaitConns(1, 1)
	harness.requireMemoryReleased()
}

// TestAwaitDeliveryEnds checks that the wait for a server that does not read the rest of a body ends at the timeout.
func TestAwaitDeliveryEnds(t *testing.T) {
	listener := listenLoopback(t)
	netConn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	peer, err := listener.Accept()
	require.NoError(t, err)
	defer peer.Close()
	conn := newConn(netConn, "i-0")
	defer conn.Close()
	require.NoError(t, conn.send([]byte("head"), make([]byte, longBodyBytes)))
	require.False(t, conn.awaitDelivery(10*time.Millisecond))
	conn.upload.wait()
	require.Error(t, conn.upload.err, "the upload must end incomplete")
}

func TestLateUploadsAreBounded(t *testing.T) {
	var uploads lateUploads
	conns := make([]*conn, maxLateUploads)
	for i := range conns {
		conns[i] = newConn(&fakeConn{exchange: &exchange{}}, "i-0")
		require.True(t, uploads.add(conns[i]))
	}
	require.False(t, uploads.add(newConn(&fakeConn{exchange: &exchange{}}, "i-0")))
	uploads.remove(conns[0])
	require.True(t, uploads.add(conns[0]))
	uploads.closeAll()
	uploads.remove(conns[0])
	require.False(t, uploads.add(conns[0]), "a closed set accepts no connection")
}
