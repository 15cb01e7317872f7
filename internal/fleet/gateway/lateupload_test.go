package gateway

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateServer answers long bodies before it has read them, and reads on once it is told to.
type lateServer struct {
	readOn   chan struct{}
	received chan string   // the bodies that it read late
	conns    chan net.Conn // of the requests, in order
}

func newLateServer() *lateServer {
	return &lateServer{readOn: make(chan struct{}), received: make(chan string, 1), conns: make(chan net.Conn, 8)}
}

func (s *lateServer) handle(t *testing.T) func(*pendingUpload) {
	return func(upload *pendingUpload) {
		s.conns <- upload.Conn
		if upload.length < longBodyBytes {
			_, _ = upload.read(upload.length)
			upload.respond(200, sealField, "small")
			return
		}
		upload.respond(200, sealField, "early")
		select {
		case <-s.readOn:
		case <-t.Context().Done():
			return
		}
		body, _ := upload.read(upload.length)
		s.received <- body
	}
}

// awaitConns waits until the gateway has so many connections to servers, open ones and idle ones of them.
func (h *testHarness) awaitConns(wantOpen, wantIdle int) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		open, idle := h.gateway.pool.conns.Count()
		return open == wantOpen && idle == wantIdle
	}, testTimeout, time.Millisecond)
}

// A server that has answered early and reads on gets the remainder of the body, and the next request on the same
// connection.
func TestConnectionIsUsedOnAfterALateUpload(t *testing.T) {
	server := newLateServer()
	harness := newUploadHarness(t, 1, server.handle(t))
	body := bytes.Repeat([]byte("0123456789abcdef"), longBodyBytes/16)
	_, got := harness.roundTrip(postRequest("/once/x", "", string(body)))
	require.Equal(t, "early", got)
	first := <-server.conns
	close(server.readOn)
	require.Equal(t, string(body), <-server.received)
	harness.awaitConns(1, 1)
	_, got = harness.roundTrip(postRequest("/once/x", "", "q"))
	require.Equal(t, "small", got)
	require.Same(t, first, <-server.conns)
	harness.requireMemoryReleased()
}

// While the remainder is not read the connection carries no other request, and it ends with the gateway.
func TestUnreadUploadOccupiesItsConnection(t *testing.T) {
	server := newLateServer()
	harness := newUploadHarness(t, 1, server.handle(t))
	_, got := harness.roundTrip(postRequest("/once/x", "", string(make([]byte, longBodyBytes))))
	require.Equal(t, "early", got)
	first := <-server.conns
	_, got = harness.roundTrip(postRequest("/once/x", "", "q"))
	require.Equal(t, "small", got)
	require.NotSame(t, first, <-server.conns)
	harness.gateway.lateUploads.closeAll()
	harness.awaitConns(1, 1)
	harness.requireMemoryReleased()
}

// A server that does not read on is waited for no longer than allowed.
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
	require.Error(t, conn.upload.err, "nothing is written any more")
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
	require.False(t, uploads.add(conns[0]), "the gateway has ended")
}
