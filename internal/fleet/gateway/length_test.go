package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An answer without length ends with its connection: it is whole if that was closed, and only then.
func TestAnAnswerWithoutLength(t *testing.T) {
	for name, c := range map[string]struct {
		path, status, body string
		reset              bool
		want               int
	}{
		"closed":                 {"/once/x", "200", "body", false, 200},
		"closed, empty":          {"/once/x", "200", "", false, 200},
		"closed, long":           {"/once/x", "200", strings.Repeat("body", maxWhole), false, 200},
		"closed, failure":        {"/once/x", "500", "failed", false, 500},
		"closed, stream":         {"/stream/x", "200", events(1, 3), false, 200},
		"closed, to be resumed":  {"/resume/x", "200", events(1, 3), false, 200},
		"closed within an event": {"/stream/x", "200", events(1, 1)[:9], false, 502},
		"reset":                  {"/once/x", "200", "body", true, 502},
		"reset, empty":           {"/once/x", "200", "", true, 502},
		"reset, failure":         {"/once/x", "500", "failed", true, 502},
		"reset, stream":          {"/stream/x", "200", events(1, 1)[:9], true, 502},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, func(a *arrival, _ int) bool {
				if !a.send("HTTP/1.1 %s X\r\n%s: %s\r\n%s\r\n%s", c.status, hID, a.id(), sealed, c.body) {
					return false
				}
				if c.reset {
					a.reset()
				}
				return false
			})
			resp, body := w.ask(post(c.path, "", "q"))
			require.Equal(t, c.want, resp.StatusCode)
			if c.want == 502 {
				require.Empty(t, resp.Header.Get(hSeal))
				return
			}
			require.Equal(t, "seal-1", resp.Header.Get(hSeal))
			require.Equal(t, c.body, body)
			require.Zero(t, w.door.pool.open, "the connection is kept")
		})
	}
}

// A stream without length of which events have been passed on does not look whole after a reset.
func TestAResetStreamWithoutLength(t *testing.T) {
	read := make(chan bool)
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%s\r\n%s", hID, a.id(), sealed, events(1, 2))
		select {
		case <-read:
		case <-t.Context().Done():
		}
		return a.reset()
	})
	c := w.dial()
	c.send(post("/stream/x", "", "q"))
	resp := c.head()
	require.Equal(t, piece(1), readEvent(t, resp))
	require.Equal(t, piece(2), readEvent(t, resp))
	close(read)
	_, err := resp.Body.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotEqual(t, "EOF", err.Error(), "it must not look whole")
}

// A server that closes before it was sent the whole body may have been cut in its answer: what
// ends with that connection is not taken for whole.
func TestAnAnswerWithoutLengthBeforeTheBodyIsRead(t *testing.T) {
	w := uploads(t, 1, func(u *uploaded) {
		u.send("HTTP/1.1 200 X\r\n%s: %s\r\n%s\r\nbody", hID, u.header.Get(hID), sealed)
		u.Close()
	})
	resp, _ := w.ask(post("/once/x", "", strings.Repeat("x", longBody)))
	require.Equal(t, 502, resp.StatusCode)
	require.EqualValues(t, 1, w.arrived())
}
