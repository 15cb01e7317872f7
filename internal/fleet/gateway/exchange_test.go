package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

// deadlineIgnorer is a ResponseRecorder that accepts write deadlines.
type deadlineIgnorer struct{ *httptest.ResponseRecorder }

func (deadlineIgnorer) SetWriteDeadline(time.Time) error { return nil }

// exchangeDocument is the configuration of all exchanges, parsed once.
var exchangeDocument = sync.OnceValues(func() (*config.Document, error) {
	return config.Parse(fmt.Appendf(nil, testConfig, 1, ""))
})

// exchangeResult is the response that a client gets in an exchange.
type exchangeResult struct {
	*httptest.ResponseRecorder
	aborted bool // the client sees that the response is truncated
}

// run sends a request through a gateway to two servers of an exchange.
func (x *exchange) run(t *testing.T, path string) exchangeResult {
	t.Helper()
	gateway := New(testSettings(), 1)
	list := &registry.List{Version: 1, ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	for i := range 2 {
		instance := &registry.Instance{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: "127.0.0.1:1", Zone: "z", Slots: 64, Seq: 1}
		list.ByID[instance.ID] = instance
		list.ByService["s"] = append(list.ByService["s"], instance)
	}
	document, err := exchangeDocument()
	require.NoError(t, err)
	gateway.Update(&relay.Snapshot{ConfigSeq: 1, Config: document, Servers: list, Agents: 1, Synced: true})
	for instanceID := range list.ByID {
		require.NoError(t, gateway.pool.conns.Reserve())
		gateway.pool.put(newConn(&fakeConn{exchange: x}, instanceID))
	}
	req := httptest.NewRequest("POST", path, strings.NewReader(exchangeBody))
	req.Host = "h.example"
	req.Header.Set(headerAttemptID, exchangeAttemptID)
	return serveRecorded(t, gateway, req)
}

// serveRecorded has a gateway serve one request.
func serveRecorded(t *testing.T, gateway *Gateway, req *http.Request) (result exchangeResult) {
	t.Helper()
	result.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if recovered := recover(); recovered != nil {
			require.Equal(t, http.ErrAbortHandler, recovered)
			result.aborted = true
		}
	}()
	gateway.ServeHTTP(deadlineIgnorer{result.ResponseRecorder}, req)
	return result
}

// describe summarizes an exchange for test messages.
func (x *exchange) describe(path string, result exchangeResult) string {
	return fmt.Sprintf("%s: read %d, sent %d of %d, end %v, write fails %v: %d %q, aborted %v, %d servers, %d executions",
		path, x.requestBytesRead, x.responseBytesSent, len(x.first.text), x.endErr, x.writeFails,
		result.Code, result.Body, result.aborted, len(x.conns), x.executions())
}

// check compares what a client got with what the servers did.
func (x *exchange) check(t *testing.T, path string, result exchangeResult) {
	t.Helper()
	description := x.describe(path, result)
	idempotent := strings.HasPrefix(path, "/safe/") || strings.HasPrefix(path, "/resume/")
	if !idempotent {
		require.LessOrEqual(t, x.executions(), 1, description)
	}
	if x.writeFails && !x.conns[0].headRead() {
		require.Len(t, x.conns, 2, "an incomplete head proves that the request was not executed: %s", description)
	}
	complete, body := x.sentComplete()
	if complete && x.conns[0].headRead() && x.first.status == 200 {
		require.Len(t, x.conns, 1, description)
	}
	if result.aborted {
		return
	}
	switch result.Code {
	case 200:
		if len(x.conns) == 1 {
			require.True(t, complete, description)
			require.Equal(t, body, result.Body.String(), description)
			require.Equal(t, 200, x.first.status, description)
		} else {
			require.Equal(t, x.others("").body, result.Body.String(), description)
		}
		require.NotEmpty(t, result.Header().Get(headerServerSeal), description)
	case 408, 421, 429, 503:
		require.Zero(t, x.executions(), "the client is told that the request was not executed: %s", description)
	case 502:
		require.Empty(t, result.Header().Get(headerServerSeal), description)
	default:
		require.Equal(t, x.first.status, result.Code, description)
		require.Equal(t, x.first.body, result.Body.String(), description)
		require.True(t, complete, description)
	}
}

// cutAtEachByte calls check with an exchange for each combination of how many bytes the first server reads,
// how many it sends, and how its connection ends.
func cutAtEachByte(t *testing.T, path string, first scriptedResponse, others func(request string) scriptedResponse, check func(*exchange)) {
	t.Helper()
	completeExchange := &exchange{
		first: first, others: others, requestBytesRead: 1 << 20, responseBytesSent: len(first.text), endErr: io.EOF,
	}
	completeExchange.run(t, path)
	requestLength := completeExchange.conns[0].written.Len()
	headLength := requestLength - len(exchangeBody)
	for _, endErr := range []error{io.EOF, syscall.ECONNRESET} {
		for _, writeFails := range []bool{false, true} {
			for read := range requestLength + 1 {
				if writeFails && read == requestLength {
					continue // the server reads everything, so no write fails
				}
				maxSent := 0
				if read >= headLength {
					maxSent = len(first.text)
				}
				for sent := range maxSent + 1 {
					check(&exchange{first: first, others: others, requestBytesRead: read, responseBytesSent: sent, endErr: endErr, writeFails: writeFails})
				}
			}
		}
	}
}

// TestExchangeCutAtEachByte has a server end its connection after each byte of a request and each byte of
// its response. It checks that a request that must not be executed twice is executed once at most, that no
// truncated response looks complete, and that a client is told that its request was not executed only if
// that is true.
func TestExchangeCutAtEachByte(t *testing.T) {
	others := func(string) scriptedResponse { return lengthDelimitedResponse(200, true, sealField, "another's") }
	for name, first := range scriptedResponses {
		for _, path := range []string{"/once/x", "/safe/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				cutAtEachByte(t, path, first, others, func(exchange *exchange) {
					exchange.check(t, path, exchange.run(t, path))
				})
			})
		}
	}
}

// TestStreamCutAtEachByte has a server end its connection after each byte of a request and of a stream. It
// checks that the client gets complete events from the start of the stream, that a truncated stream does not
// look complete, and that a stream that can't be resumed is executed once at most.
func TestStreamCutAtEachByte(t *testing.T) {
	const last = 3
	others := func(request string) scriptedResponse {
		_, field, _ := strings.Cut(request, headerLastEventID+": ")
		lastEventID := 0
		_, _ = fmt.Sscan(field, &lastEventID) // without the field the stream starts from the beginning
		return streamResponse(lastEventID+1, last)
	}
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			cutAtEachByte(t, path, streamResponse(1, last), others, func(exchange *exchange) {
				result := exchange.run(t, path)
				exchange.checkStream(t, path, result, last)
			})
		})
	}
}

// checkStream compares the events that a client got with those that it should have got.
func (x *exchange) checkStream(t *testing.T, path string, result exchangeResult, last int) {
	t.Helper()
	description := x.describe(path, result)
	if path == "/stream/x" {
		require.LessOrEqual(t, x.executions(), 1, description)
	}
	received := result.Body.String()
	switch {
	case result.aborted:
		// Only the end of the stream may be missing.
		require.LessOrEqual(t, len(received), len(eventTexts(1, last)), description)
		require.Equal(t, eventTexts(1, strings.Count(received, "\n\n")), received, description)
	case result.Code == 200:
		require.Equal(t, eventTexts(1, last), received, description)
	default:
		require.Equal(t, 502, result.Code, description)
	}
	if path == "/resume/x" {
		require.False(t, result.aborted, description)
		require.Equal(t, 200, result.Code, description)
	}
}
