package loadgen

import (
	"fmt"
	"net/netip"

	"chalkdoor.example/chalkdoor/internal/testbed/tcpstate"
)

// maxSocketReads is the number of dropped requests for which a client reads the state of its agent's sockets.
// Reading takes time, and the first drops are the most informative.
const maxSocketReads = 16

// dropDetail describes a dropped request: the client's error and, for the first drops, the state of the agent's
// sockets.
func (c *Client) dropDetail(err error) string {
	if c.socketReads.Add(1) > maxSocketReads {
		return err.Error()
	}
	address, parseErr := netip.ParseAddrPort(c.addr)
	if parseErr != nil {
		return err.Error()
	}
	sockets, readErr := tcpstate.Of(address)
	if readErr != nil {
		return fmt.Sprintf("%v; sockets not read: %v", err, readErr)
	}
	return fmt.Sprintf("%v; sockets: %v", err, sockets)
}
