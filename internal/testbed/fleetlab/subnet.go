package fleetlab

import (
	"fmt"
	"net"
	"os"

	"github.com/go-faster/errors"
)

// subnet is a network on loopback that no other laboratory uses while it is held.
type subnet struct {
	prefix string
	lock   net.Listener
}

func (s *subnet) ip(n int) string { return s.prefix + fmt.Sprint(n) }

// claimSubnet finds a free one.
func claimSubnet() (*subnet, error) {
	pid := os.Getpid()
	for i := range 4000 {
		n := pid + 251*i
		prefix := fmt.Sprintf("127.%d.%d.", 16+n/250%200, 1+n%250)
		if ln, err := net.Listen("tcp", prefix+"1:7299"); err == nil {
			return &subnet{prefix, ln}, nil
		}
	}
	return nil, errors.New("no free network on loopback: end other laboratories")
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
