package door

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests whose framing RFC 9112 lets a server read in one way and others read in another: they
// should get an error and their connection be closed, so that what stands behind is never run.
func TestDoubtfulFraming(t *testing.T) {
	hidden := "POST /once/hidden HTTP/1.1\r\nHost: h.example\r\n" + hID + ": hidden\r\nContent-Length: 0\r\n\r\n"
	chunked := "0\r\n\r\n" + hidden
	for name, request := range map[string]string{
		"a length and chunks":   head("POST", "/once/x", "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n") + chunked,
		"chunks and a length":   head("POST", "/once/x", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") + chunked,
		"chunks and length 0":   head("POST", "/once/x", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") + chunked,
		"folded":                head("POST", "/once/x", "Transfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n") + chunked,
		"a space before a name": head("POST", "/once/x", "X-A: 1\r\n Content-Length: 5\r\n") + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
			c := w.dial()
			_, _ = c.Write([]byte(request))
			for {
				resp, err := http.ReadResponse(c.br, nil)
				if err != nil {
					require.False(t, timedOut(err), "the connection is still open")
					break
				}
				require.GreaterOrEqual(t, resp.StatusCode, 400)
				require.True(t, resp.Close, "%d keeps the connection", resp.StatusCode)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			w.none()
		})
	}
}
