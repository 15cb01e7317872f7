package controlapi

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// newTestClient starts an HTTP server for each handler, and returns a client for them with a minimal backoff.
func newTestClient(t *testing.T, handlers ...http.HandlerFunc) *Client {
	t.Helper()
	var addrs []string
	for _, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		addrs = append(addrs, server.Listener.Addr().String())
	}
	c := NewClient(addrs)
	c.InitialBackoff = time.Microsecond
	return c
}

// respondStatus returns a handler that responds with a status and an error.
func respondStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error":"no %d"}`, status)
	}
}

// recordSubmissions returns a handler that appends each submission to seen and responds that it is committed.
func recordSubmissions(seen *[]string) http.HandlerFunc {
	var mu sync.Mutex
	return func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		mu.Lock()
		*seen = append(*seen, fmt.Sprint(request.Method, " ", request.Header.Get("If-Match"), " ", string(body)))
		mu.Unlock()
		fmt.Fprint(w, `{"revision":8}`)
	}
}

func TestClientRetriesAtNextAgent(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, dead.Close())
	var seen []string
	broken := func(w http.ResponseWriter, request *http.Request) { panic(http.ErrAbortHandler) }
	for _, first := range []http.HandlerFunc{respondStatus(500), respondStatus(503), respondStatus(502), respondStatus(408), respondStatus(429), respondStatus(401), broken} {
		c := newTestClient(t, first, recordSubmissions(&seen))
		c.addresses = append([]string{dead.Addr().String()}, c.addresses...)
		revision, err := c.Submit(t.Context(), true, 7, []byte(`{"x":1}`))
		require.NoError(t, err)
		assert.Equal(t, int64(8), revision)
	}
	assert.Len(t, seen, 7)
	assert.Equal(t, `PATCH 7 {"x":1}`, seen[0])
}

func TestClientTimesOut(t *testing.T) {
	var seen []string
	ended := make(chan struct{})
	c := newTestClient(t, func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		close(ended)
	}, recordSubmissions(&seen))
	c.ResponseTimeout = 10 * time.Millisecond
	_, err := c.Submit(t.Context(), false, 0, []byte(`{}`))
	require.NoError(t, err)
	<-ended
}

func TestClientReturnsFinalAnswers(t *testing.T) {
	for status, kind := range map[int]apierror.Kind{
		400: apierror.Invalid, 422: apierror.Invalid, 409: apierror.Conflict, 412: apierror.Conflict, 413: apierror.TooLarge,
	} {
		never := func(http.ResponseWriter, *http.Request) { t.Error("called another agent after a final answer") }
		_, err := newTestClient(t, respondStatus(status), never).Submit(t.Context(), false, 0, []byte(`{}`))
		assert.Equal(t, kind, apierror.KindOf(err))
		assert.ErrorContains(t, err, fmt.Sprintf("no %d", status))
	}
	attempts := 0
	_, _, err := newTestClient(t, func(w http.ResponseWriter, request *http.Request) { attempts++; respondStatus(404)(w, request) }).Config(t.Context())
	assert.Equal(t, apierror.NotFound, apierror.KindOf(err))
	assert.Equal(t, 3, attempts)
}

func TestClientFollowsTwoRedirects(t *testing.T) {
	var seen []string
	last := newTestClient(t, recordSubmissions(&seen)).addresses[0]
	redirectTo := func(address string) http.HandlerFunc {
		return func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set("Location", "http://"+address+request.URL.Path)
			w.WriteHeader(http.StatusTemporaryRedirect)
		}
	}
	second := newTestClient(t, redirectTo(last)).addresses[0]
	first := newTestClient(t, redirectTo(second))
	_, err := first.Submit(t.Context(), false, 3, []byte(`{}`))
	require.NoError(t, err)
	assert.Equal(t, []string{"PUT 3 {}"}, seen)

	_, err = newTestClient(t, redirectTo(first.addresses[0]), recordSubmissions(&seen)).
		Submit(t.Context(), false, 4, []byte(`{}`))
	require.NoError(t, err)
	assert.Equal(t, []string{"PUT 3 {}", "PUT 4 {}"}, seen, "the next agent is called after too many redirects")
}

func TestClientErrorsAfterTimeout(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c := newTestClient(t, func(w http.ResponseWriter, request *http.Request) { respondStatus(503)(w, request); cancel() })
	c.InitialBackoff = time.Hour
	_, err := c.Submit(ctx, false, 0, []byte(`{}`))
	assert.Equal(t, apierror.OutcomeUnknown, apierror.KindOf(err))
	assert.ErrorContains(t, err, "send the same again")

	dead, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, dead.Close())
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	c = NewClient([]string{dead.Addr().String()})
	c.InitialBackoff = time.Millisecond
	_, err = c.Submit(ctx, false, 0, []byte(`{}`))
	assert.Equal(t, apierror.Unavailable, apierror.KindOf(err))
}

// A submission that an agent may have carried out before others refused it has an unknown outcome. One that every agent
// refused, or that was only read, has not.
func TestClientErrorsAfterRejections(t *testing.T) {
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	silent := func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	}
	for name, first := range map[string]http.HandlerFunc{"broken": broken, "silent": silent, "503": respondStatus(503), "502": respondStatus(502)} {
		for status, refused := range map[int]apierror.Kind{401: apierror.Unavailable, 404: apierror.NotFound} {
			t.Run(fmt.Sprint(name, " then ", status), func(t *testing.T) {
				rejecting := respondStatus(status)
				for _, patch := range []bool{false, true} {
					c := newTestClient(t, rejecting, first, rejecting, rejecting)
					c.ResponseTimeout = 50 * time.Millisecond
					_, err := c.Submit(t.Context(), patch, 0, []byte(`{}`))
					assert.Equal(t, apierror.OutcomeUnknown, apierror.KindOf(err))
					assert.ErrorContains(t, err, "send the same again")
				}
				_, err := newTestClient(t, rejecting).Submit(t.Context(), false, 0, []byte(`{}`))
				assert.Equal(t, refused, apierror.KindOf(err))
				_, _, err = newTestClient(t, respondStatus(503), rejecting, rejecting, rejecting).Config(t.Context())
				assert.Equal(t, refused, apierror.KindOf(err))
			})
		}
	}
}

func TestClientAndServer(t *testing.T) {
	backend := &fakeBackend{config: `{"revision":7}`, onSubmit: func(_ context.Context, patch bool, ifMatch int64, body []byte) SubmitResult {
		if ifMatch != 7 {
			return SubmitResult{Outcome: OutcomeConflict, Reason: "7 is current"}
		}
		return SubmitResult{Outcome: OutcomeCommitted, Revision: 9}
	}}
	_, address := startServer(t, backend, Options{})
	c := NewClient([]string{address})
	_, revision, err := c.Config(t.Context())
	require.NoError(t, err)
	got, err := c.Submit(t.Context(), true, revision, []byte(`{"revision":9}`))
	require.NoError(t, err)
	assert.Equal(t, int64(9), got)
	_, err = c.Submit(t.Context(), true, 6, []byte(`{"revision":9}`))
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
	view, err := c.Inspect(t.Context(), "view")
	require.NoError(t, err)
	assert.Equal(t, `{"of":"view"}`, string(view))
	_, err = c.Inspect(t.Context(), "a/b")
	assert.Equal(t, apierror.NotFound, apierror.KindOf(err))
}
