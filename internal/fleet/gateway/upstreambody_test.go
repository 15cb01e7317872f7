package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCloseDelimitedResponse checks that a response that ends with its connection is complete if the server
// closed the connection, and only then.
func TestCloseDelimitedResponse(t *testing.T) {
	for name, c := range map[string]struct {
		path, status, body string
		reset              bool
		want               int
	}{
		"closed":                 {"/once/x", "200", "body", false, 200},
		"closed, empty":          {"/once/x", "200", "", false, 200},
		"closed, long":           {"/once/x", "200", strings.Repeat("body", maxBufferedBodyBytes), false, 200},
		"closed, failure":        {"/once/x", "500", "failed", false, 500},
		"closed, stream":         {"/stream/x", "200", eventTexts(1, 3), false, 200},
		"closed, to be resumed":  {"/resume/x", "200", eventTexts(1, 3), false, 200},
		"closed within an event": {"/stream/x", "200", eventTexts(1, 1)[:9], false, 502},
		"reset":                  {"/once/x", "200", "body", true, 502},
		"reset, empty":           {"/once/x", "200", "", true, 502},
		"reset, failure":         {"/once/x", "500", "failed", true, 502},
		"reset, stream":          {"/stream/x", "200", eventTexts(1, 1)[:9], true, 502},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
				if !call.write("HTTP/1.1 %s X\r\n%s: %s\r\n%s\r\n%s", c.status, headerAttemptID, call.attemptID(), sealField, c.body) {
					return false
				}
				if c.reset {
					call.resetOnClose()
				}
				return false
			})
			resp, body := harness.roundTrip(postRequest(c.path, "", "q"))
			require.Equal(t, c.want, resp.StatusCode)
			if c.want == 502 {
				require.Empty(t, resp.Header.Get(headerServerSeal))
				return
			}
			require.Equal(t, "seal-1", resp.Header.Get(headerServerSeal))
			require.Equal(t, c.body, body)
			open, _ := harness.gateway.pool.conns.Count()
			require.Zero(t, open, "the connection is still open")
		})
	}
}

// TestResetCloseDelimitedStream checks that a stream does not look complete after a reset.
func TestResetCloseDelimitedStream(t *testing.T) {
	eventsRead := make(chan bool)
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		call.write("HTTP/1.1 200 X\r\n%s: %s\r\n%s\r\n%s", headerAttemptID, call.attemptID(), sealField, eventTexts(1, 2))
		select {
		case <-eventsRead:
		case <-t.Context().Done():
		}
		return call.resetOnClose()
	})
	client := harness.dial()
	client.write(postRequest("/stream/x", "", "q"))
	resp := client.readHead()
	require.Equal(t, eventText(1), readEvent(t, resp))
	require.Equal(t, eventText(2), readEvent(t, resp))
	close(eventsRead)
	_, err := resp.Body.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotEqual(t, "EOF", err.Error(), "it must not look complete")
}

// TestCloseDelimitedResponseDuringUpload has a server close the connection before it has received the complete
// body, and checks that its response is not taken for complete: the close may have truncated it.
func TestCloseDelimitedResponseDuringUpload(t *testing.T) {
	harness := newUploadHarness(t, 1, func(upload *pendingUpload) {
		upload.write("HTTP/1.1 200 X\r\n%s: %s\r\n%s\r\nbody", headerAttemptID, upload.header.Get(headerAttemptID), sealField)
		upload.Close()
	})
	resp, _ := harness.roundTrip(postRequest("/once/x", "", strings.Repeat("x", longBodyBytes)))
	require.Equal(t, 502, resp.StatusCode)
	require.EqualValues(t, 1, harness.requestCount())
}
