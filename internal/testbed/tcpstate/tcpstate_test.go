package tcpstate

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSocketsOfAnAddress(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	_, err = dialed.Write([]byte("four"))
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	_, err = accepted.Read(make([]byte, 1))
	require.NoError(t, err)
	server, client := netip.MustParseAddrPort(listener.Addr().String()), netip.MustParseAddrPort(dialed.LocalAddr().String())

	require.Contains(t, socketsOf(t, server), Socket{Local: server, Remote: netip.MustParseAddrPort("0.0.0.0:0"), State: "LISTEN"})
	ends := slices.DeleteFunc(socketsOf(t, client), func(s Socket) bool { return s.Local != server && s.Remote != server })
	require.ElementsMatch(t, []Socket{
		{Local: server, Remote: client, State: "ESTABLISHED", Unread: 3},
		{Local: client, Remote: server, State: "ESTABLISHED"},
	}, ends)
}

// socketsOf returns the sockets of an address with Unsent set to 0, as it changes over time.
func socketsOf(t *testing.T, address netip.AddrPort) []Socket {
	sockets, err := Of(address)
	require.NoError(t, err)
	for i := range sockets {
		sockets[i].Unsent = 0
	}
	return sockets
}

func TestMalformedTables(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:80")
	for line, want := range map[string]string{
		"0: 0100007F:0050":                             "columns",
		"0: 0100007G:0050 00000000:0000 0A 0:0":        "address",
		"0: 0100007F:10050 00000000:0000 0A 0:0":       "port",
		"0: 0100007F:0050 00000000 0A 0:0":             "port",
		"0: 0100007F:0050 00000000:0000 XX 0:0":        "state",
		"0: 0100007F:0050 00000000:0000 0A Z:0":        "queue",
		"0: 0100007F:0050 00000000:0000 0A 0":          "queue",
		"0: 0100007F:0050 00:00 0A 00000000:00000000 ": "address",
	} {
		_, err := read(strings.NewReader("header\n"+line+"\n"), address)
		require.ErrorContains(t, err, want, line)
	}
	sockets, err := read(strings.NewReader("header\n0: 0100007F:0050 00000000:0000 0E 00000000:00000000\n"), address)
	require.NoError(t, err)
	require.Equal(t, "?", sockets[0].State)
}

func TestSocketsAreBounded(t *testing.T) {
	line := "0: 0100007F:0050 00000000:0000 06 00000000:00000000\n"
	sockets, err := read(strings.NewReader("header\n"+strings.Repeat(line, 2*maxSockets)), netip.MustParseAddrPort("127.0.0.1:80"))
	require.NoError(t, err)
	require.Len(t, sockets, maxSockets)
}
