package loadgen

import (
	"fmt"
	"net/netip"

	"chalkdoor.example/chalkdoor/internal/testbed/tcpstate"
)

// maxSocketReads bounds for how many dropped requests a client reads the sockets of its agent: that takes
// time, and the first ones tell the most.
const maxSocketReads = 16

// dropDetail tells what a client saw of a dropped request: its error, and how the agent's sockets are.
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
