package hollownode

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc/drpcwire"
)

// encodePackets encodes packets in frames of a maximal size.
func encodePackets(t *testing.T, most int, packets ...drpcwire.Packet) (out []byte) {
	for i, p := range packets {
		p.ID = drpcwire.ID{Stream: 300, Message: uint64(i + 1)}
		require.NoError(t, drpcwire.SplitN(p, most, func(f drpcwire.Frame) error {
			out = drpcwire.AppendFrame(out, f)
			return nil
		}))
	}
	return out
}

func TestFramesAreCountedAcrossReads(t *testing.T) {
	raw := encodePackets(t, 50,
		drpcwire.Packet{Kind: drpcwire.KindInvoke, Data: []byte("core.ping")},
		drpcwire.Packet{Kind: drpcwire.KindMessage, Data: make([]byte, 320)},
		drpcwire.Packet{Kind: drpcwire.KindMessage},
		drpcwire.Packet{Kind: drpcwire.KindClose})
	for cut := 1; cut <= len(raw); cut++ {
		var f frameParser
		messages, size, calls := 0, 0, ""
		for rest := raw; len(rest) > 0; {
			n := min(cut, len(rest))
			f.write(rest[:n], func(f *frameParser) {
				size += f.size
				if f.kind == drpcwire.KindMessage && f.done {
					messages++
				}
				if f.kind == drpcwire.KindInvoke {
					calls += string(f.data)
				}
			})
			rest = rest[n:]
		}
		require.Equal(t, 2, messages)
		require.Equal(t, len(raw), size)
		require.Equal(t, "core.ping", calls)
	}
}

func TestSessionsAreCountedByCaller(t *testing.T) {
	type hello struct {
		Source string `msgpack:"s"`
	}
	tap := newTrafficCounter()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counted := tap.listener(ln)
	defer counted.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	total := int64(0)
	for _, source := range []string{"core-7/1", "agent-7/1"} {
		first, err := msgpack.Marshal(map[string]any{"h": hello{source}})
		require.NoError(t, err)
		raw := encodePackets(t, 7, drpcwire.Packet{Kind: drpcwire.KindInvoke, Data: []byte(sessionCall)}, drpcwire.Packet{Kind: drpcwire.KindMessage, Data: first},
			drpcwire.Packet{Kind: drpcwire.KindMessage, Data: []byte{1}})
		total += int64(len(raw))
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", ln.Addr().String(), time.Second)
			if err == nil {
				_, _ = c.Write(raw)
				c.Close()
			}
		})
		c, err := counted.Accept()
		require.NoError(t, err)
		for buf := make([]byte, 5); err == nil; {
			_, err = c.Read(buf)
		}
		c.Close()
	}
	got := tap.snapshot()
	require.Len(t, got, 2)
	for _, call := range []string{sessionCall + fromCore, sessionCall + fromAgent} {
		require.Equal(t, int64(1), got[call].Calls)
		require.Equal(t, int64(2), got[call].In)
	}
	require.Equal(t, total, got[sessionCall+fromCore].Bytes()+got[sessionCall+fromAgent].Bytes())
}
