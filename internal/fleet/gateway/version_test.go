package gateway

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// versioned begins a stream of a server whose weights have a version.
func (a *arrival) versioned(version string) bool {
	return a.send("HTTP/1.1 200 OK\r\n%s: %s\r\n%s%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		hID, a.id(), sealed, hVersions, version)
}

// changed is an event at which the version changes.
func changed(version string, i int) string { return "versions: " + version + "\n" + piece(i) }

// resumed plays a stream whose first server breaks off after two events, the second of which has
// the given text, and returns what the client got after them and what the other servers were sent.
func resumed(t *testing.T, fields, second string, others func(a *arrival, n int) bool) (rest string, sent []*arrival, err error) {
	read := make(chan bool)
	w := newWorld(t, 3, func(a *arrival, n int) bool {
		if n > 0 {
			return others(a, n)
		}
		a.versioned("3")
		a.chunk(piece(1))
		a.chunk(second)
		select {
		case <-read:
		case <-t.Context().Done():
		}
		return false
	})
	c := w.dial()
	c.send(post("/resume/x", fields, "q"))
	resp := c.head()
	require.Equal(t, piece(1), readEvent(t, resp))
	require.Equal(t, second, readEvent(t, resp))
	close(read)
	body, err := io.ReadAll(resp.Body)
	require.Equal(t, []string{"3"}, resp.Header[hVersions], "the head is the first server's")
	for range w.n.Load() {
		sent = append(sent, w.next())
	}
	return string(body), sent, err
}

// A stream goes on only with the weights it has had last.
func TestAStreamGoesOnWithTheSameVersion(t *testing.T) {
	goesOn := func(version, first string) func(a *arrival, n int) bool {
		return func(a *arrival, _ int) bool {
			return a.versioned(version) && a.chunk(first) && a.events(4, 5) && a.ended()
		}
	}
	for name, c := range map[string]struct {
		second, version, first string // the last event of the first server, head and first event of the next
		expected               string
		joined                 bool
	}{
		"the same":             {piece(2), "3", piece(3), "3", true},
		"another":              {piece(2), "4", piece(3), "3", false},
		"none":                 {piece(2), "", piece(3), "3", false},
		"another at once":      {piece(2), "3", changed("4", 3), "3", false},
		"the same, said again": {piece(2), "3", changed("3", 3), "3", true},
		"changed before":       {changed("4", 2), "4", piece(3), "4", true},
		"the one before":       {changed("4", 2), "3", piece(3), "4", false},
	} {
		t.Run(name, func(t *testing.T) {
			rest, sent, err := resumed(t, "", c.second, goesOn(c.version, c.first))
			if c.joined {
				require.NoError(t, err)
				require.Equal(t, c.first+events(4, 5), rest)
				require.Len(t, sent, 2)
			} else {
				require.Error(t, err, "it must not look whole")
				require.Empty(t, rest)
				require.Len(t, sent, 3, "another server may have the version")
			}
			require.Empty(t, sent[0].header[hExpectVersion])
			for _, a := range sent[1:] {
				require.Equal(t, []string{c.expected}, a.header[hExpectVersion])
				require.Equal(t, "2", a.header.Get(hLast))
			}
		})
	}
	t.Run("at the third", func(t *testing.T) {
		rest, _, err := resumed(t, "", piece(2), func(a *arrival, n int) bool {
			return goesOn([]string{"", "4", "3"}[n], piece(3))(a, n)
		})
		require.NoError(t, err)
		require.Equal(t, events(3, 5), rest)
	})
	t.Run("refused", func(t *testing.T) {
		rest, _, err := resumed(t, "", piece(2), func(a *arrival, n int) bool {
			if n == 1 {
				return a.answer(421, "", "")
			}
			return goesOn("3", piece(3))(a, n)
		})
		require.NoError(t, err)
		require.Equal(t, events(3, 5), rest)
	})
}

// A run may change its own weights; the event that says so is passed on as it came.
func TestAVersionThatChangesInOneRun(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		return a.versioned("3") && a.chunk(piece(1)+changed("4", 2)+piece(3)) && a.ended()
	})
	for _, path := range []string{"/stream/x", "/resume/x"} {
		_, body := w.ask(post(path, "", "q"))
		require.Equal(t, piece(1)+changed("4", 2)+piece(3), body)
	}
}

// What a client expects is passed on, also where its stream goes on; it does not take a server
// that has other weights off the list.
func TestAClientExpectsAVersion(t *testing.T) {
	w := newWorld(t, 2, func(a *arrival, n int) bool {
		if n < 2 {
			return a.answer(421, "", "")
		}
		return a.serve()
	})
	resp, _ := w.ask(post("/once/x", hExpectVersion+": 7\r\n", "q"))
	refused(t, resp)
	for range 2 {
		require.Equal(t, []string{"7"}, w.next().header[hExpectVersion])
	}
	require.Len(t, w.door.Servers(), 2, "a server was taken off the list")
	resp, _ = w.ask(post("/once/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	require.Empty(t, w.next().header[hExpectVersion])

	_, sent, err := resumed(t, hExpectVersion+": 3\r\n", changed("4", 2), func(a *arrival, _ int) bool {
		return a.versioned("3") && a.events(3, 5) && a.ended()
	})
	require.Error(t, err, "joined to pieces of another version")
	for _, a := range sent {
		require.Equal(t, []string{"3"}, a.header[hExpectVersion], fmt.Sprint(a.raw))
	}
}
