package fleetlab

import (
	"fmt"
	"net"
	"os"

	"github.com/go-faster/errors"
)

// subnet is a range of loopback addresses. Its lock, a listening port, keeps other fleets from using it.
type subnet struct {
	prefix string // first three octets, with the dot after them
	lock   net.Listener
}

// ip returns the address of host n, 1 to 254.
func (s *subnet) ip(n int) string { return s.prefix + fmt.Sprint(n) }

// claimSubnet finds and locks a free subnet.
func claimSubnet() (*subnet, error) {
	pid := os.Getpid()
	for i := range 4000 {
		n := pid + 251*i
		prefix := fmt.Sprintf("127.%d.%d.", 16+n/250%200, 1+n%250)
		if ln, err := net.Listen("tcp", prefix+"1:7299"); err == nil {
			return &subnet{prefix, ln}, nil
		}
	}
	return nil, errors.New("no free subnet on loopback: end other fleets")
}

// hostPort joins an address and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
