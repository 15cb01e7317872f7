package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEventsAreRelayedImmediately(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		sendNext := make(chan bool)
		harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
			call.startStream("s")
			for id := 1; id <= 5; id++ {
				call.writeChunk(eventText(id))
				<-sendNext
			}
			return call.endStream()
		})
		client := harness.dial()
		client.write(postRequest(path, "", "q"))
		resp := client.readHead()
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "s", resp.Header.Get(headerServerSeal))
		require.Equal(t, "text/event-stream", resp.Header.Get("Content-Type"))
		for id := 1; id <= 5; id++ {
			require.Equal(t, eventText(id), readEvent(t, resp)) // before the server sends the next
			sendNext <- true
		}
		_, err := io.ReadFull(resp.Body, make([]byte, 1))
		require.Equal(t, io.EOF, err)
		require.EqualValues(t, 1, harness.callCount.Load())
	}
}

// TestEventsSplitAcrossChunks checks that events are relayed if chunks end anywhere within them.
func TestEventsSplitAcrossChunks(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		all := eventTexts(1, 30)
		call.startStream("s")
		for i, size := 0, 1; i < len(all); i, size = i+size, size%37+1 {
			size = min(size, len(all)-i)
			call.writeChunk(all[i : i+size])
		}
		return call.endStream()
	})
	for _, path := range []string{"/stream/x", "/resume/x"} {
		_, body := harness.roundTrip(postRequest(path, "", "q"))
		require.Equal(t, eventTexts(1, 30), body)
	}
}

func TestStreamWithContentLength(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool { return call.respond(200, sealField, eventTexts(1, 3)) })
	for range 2 {
		_, body := harness.roundTrip(postRequest("/stream/x", "", "q"))
		require.Equal(t, eventTexts(1, 3), body)
	}
	require.EqualValues(t, 1, harness.servers[0].connCount.Load())
}

func TestEmptyStream(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool { return call.startStream("s") && call.endStream() })
	resp, body := harness.roundTrip(postRequest("/stream/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "s", resp.Header.Get(headerServerSeal))
	require.Empty(t, body)
}

// TestSlowClient checks that a client that does not read its stream does not delay other requests.
func TestSlowClient(t *testing.T) {
	blocked := make(chan bool)
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
		if !strings.Contains(call.requestLine, "/stream/") {
			return call.respondSuccess()
		}
		call.startStream("s")
		data := strings.Repeat("x", 64<<10)
		for id := 1; ; id++ {
			_ = call.conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			if !call.writeChunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)) {
				break
			}
		}
		blocked <- true
		call.requireClosed(t)
		return false
	})
	client := harness.dial()
	require.NoError(t, client.Conn.(*net.TCPConn).SetReadBuffer(4<<10))
	client.write(postRequest("/stream/x", "", "q"))
	harness.nextCall()
	<-blocked // back-pressure: the gateway buffers no more
	for range 10 {
		resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
		require.Equal(t, 200, resp.StatusCode)
	}
	harness.update(harness.document(""))
	require.NotEmpty(t, harness.gateway.ServerStatuses())
	client.Close()
}
