package gateway

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// startVersionedStream writes the head of a stream that is made with the given version of the weights.
func (c *upstreamCall) startVersionedStream(version string) bool {
	return c.write("HTTP/1.1 200 OK\r\n%s: %s\r\n%s%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttemptID, c.attemptID(), sealField, headerVersions, version)
}

// versionChange returns an event at which the version of the weights changes.
func versionChange(version string, i int) string { return "versions: " + version + "\n" + eventText(i) }

// resumeStream runs a stream whose first server breaks off after two events; otherServers is the script of the
// other servers. It returns what the client received after the two events, and the requests that reached the
// servers.
func resumeStream(t *testing.T, fields, secondEvent string, otherServers func(call *upstreamCall, n int) bool) (
	rest string, calls []*upstreamCall, err error,
) {
	eventsRead := make(chan bool)
	harness := newHarness(t, 3, func(call *upstreamCall, n int) bool {
		if n > 0 {
			return otherServers(call, n)
		}
		call.startVersionedStream("3")
		call.writeChunk(eventText(1))
		call.writeChunk(secondEvent)
		select {
		case <-eventsRead:
		case <-t.Context().Done():
		}
		return false
	})
	client := harness.dial()
	client.write(postRequest("/resume/x", fields, "q"))
	resp := client.readHead()
	require.Equal(t, eventText(1), readEvent(t, resp))
	require.Equal(t, secondEvent, readEvent(t, resp))
	close(eventsRead)
	body, err := io.ReadAll(resp.Body)
	require.Equal(t, []string{"3"}, resp.Header[headerVersions], "the header is that of the first server")
	for range harness.callCount.Load() {
		calls = append(calls, harness.nextCall())
	}
	return string(body), calls, err
}

// TestStreamResumesWithSameVersion checks that another server continues a stream only with the version of the
// weights that made its last event.
func TestStreamResumesWithSameVersion(t *testing.T) {
	continueWith := func(version, thirdEvent string) func(call *upstreamCall, n int) bool {
		return func(call *upstreamCall, _ int) bool {
			return call.startVersionedStream(version) && call.writeChunk(thirdEvent) &&
				call.writeEvents(4, 5) && call.endStream()
		}
	}
	for name, c := range map[string]struct {
		secondEvent, version, thirdEvent string // last event of the first server; version and first event of the next
		expected                         string // the version that the gateway sends as the expected one
		resumed                          bool
	}{
		"the same":           {eventText(2), "3", eventText(3), "3", true},
		"another":            {eventText(2), "4", eventText(3), "3", false},
		"none":               {eventText(2), "", eventText(3), "3", false},
		"another at once":    {eventText(2), "3", versionChange("4", 3), "3", false},
		"the same, repeated": {eventText(2), "3", versionChange("3", 3), "3", true},
		"the changed one":    {versionChange("4", 2), "4", eventText(3), "4", true},
		"the former version": {versionChange("4", 2), "3", eventText(3), "4", false},
	} {
		t.Run(name, func(t *testing.T) {
			rest, calls, err := resumeStream(t, "", c.secondEvent, continueWith(c.version, c.thirdEvent))
			if c.resumed {
				require.NoError(t, err)
				require.Equal(t, c.thirdEvent+eventTexts(4, 5), rest)
				require.Len(t, calls, 2)
			} else {
				require.Error(t, err, "it must not look complete")
				require.Empty(t, rest)
				require.Len(t, calls, 3, "another server may have the version")
			}
			require.Empty(t, calls[0].header[headerExpectVersion])
			for _, call := range calls[1:] {
				require.Equal(t, []string{c.expected}, call.header[headerExpectVersion])
				require.Equal(t, "2", call.header.Get(headerLastEventID))
			}
		})
	}
	t.Run("at the third", func(t *testing.T) {
		rest, _, err := resumeStream(t, "", eventText(2), func(call *upstreamCall, n int) bool {
			return continueWith([]string{"", "4", "3"}[n], eventText(3))(call, n)
		})
		require.NoError(t, err)
		require.Equal(t, eventTexts(3, 5), rest)
	})
	t.Run("refused", func(t *testing.T) {
		rest, _, err := resumeStream(t, "", eventText(2), func(call *upstreamCall, n int) bool {
			if n == 1 {
				return call.respond(421, "", "")
			}
			return continueWith("3", eventText(3))(call, n)
		})
		require.NoError(t, err)
		require.Equal(t, eventTexts(3, 5), rest)
	})
}

// TestVersionChangesWithinResponse checks that one server may change the version within a stream.
func TestVersionChangesWithinResponse(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		return call.startVersionedStream("3") && call.writeChunk(eventText(1)+versionChange("4", 2)+eventText(3)) && call.endStream()
	})
	for _, path := range []string{"/stream/x", "/resume/x"} {
		_, body := harness.roundTrip(postRequest(path, "", "q"))
		require.Equal(t, eventText(1)+versionChange("4", 2)+eventText(3), body)
	}
}

// TestClientExpectsVersion checks that the version that a client expects is sent to each server, and that a
// server with another version is not unlisted.
func TestClientExpectsVersion(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
		if n < 2 {
			return call.respond(421, "", "")
		}
		return call.respondSuccess()
	})
	resp, _ := harness.roundTrip(postRequest("/once/x", headerExpectVersion+": 7\r\n", "q"))
	requireRefused(t, resp)
	for range 2 {
		require.Equal(t, []string{"7"}, harness.nextCall().header[headerExpectVersion])
	}
	require.Len(t, harness.gateway.ServerStatuses(), 2, "a server was unlisted")
	resp, _ = harness.roundTrip(postRequest("/once/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	require.Empty(t, harness.nextCall().header[headerExpectVersion])

	_, calls, err := resumeStream(t, headerExpectVersion+": 3\r\n", versionChange("4", 2), func(
		call *upstreamCall, _ int,
	) bool {
		return call.startVersionedStream("3") && call.writeEvents(3, 5) && call.endStream()
	})
	require.Error(t, err, "events of two versions were joined")
	for _, call := range calls {
		require.Equal(t, []string{"3"}, call.header[headerExpectVersion], fmt.Sprint(call.rawHead))
	}
}
