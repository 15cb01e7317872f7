package hollownode

import (
	"fmt"
	"net"
	"os"

	"github.com/go-faster/errors"
)

// subnet is a loopback network of addresses. Its lock, a listening port, keeps other fleets away from it.
type subnet struct {
	prefix string
	lock   net.Listener
}

// ip is the address of the machine of an index.
func (s *subnet) ip(n int) string { return fmt.Sprintf("%s%d.%d", s.prefix, 1+n/250, 1+n%250) }

// controlAddr is the address at which a host is controlled.
func (s *subnet) controlAddr(n int) string { return fmt.Sprintf("%s0.2:%d", s.prefix, 7400+n) }

// claimSubnet finds and locks a free subnet.
func claimSubnet() (*subnet, error) {
	for i := range 30 {
		prefix := fmt.Sprintf("127.%d.", 220+(os.Getpid()+i)%30)
		if ln, err := net.Listen("tcp", prefix+"0.1:7299"); err == nil {
			return &subnet{prefix, ln}, nil
		}
	}
	return nil, errors.New("no free subnet on loopback: end other fleets")
}
