package hollownode

import (
	"context"
)

// localHost runs nodes in this process.
type localHost struct{ *Host }

// Pid is 0: this process.
func (l localHost) Pid() int { return 0 }

// Kill stops all nodes at once.
func (l localHost) Kill(ctx context.Context) error {
	return l.eachNode(func(n *node) error { n.stop(ctx, false); return nil })
}

// Restore starts all nodes again.
func (l localHost) Restore(context.Context) error {
	return l.eachNode(func(n *node) error { return n.start(false) })
}

// host runs nodes, in this process or in one of its own.
type host interface {
	// Do does one thing.
	Do(ctx context.Context, q *Request) (*Reply, error)
	// Kill ends the host at once with all its nodes.
	Kill(ctx context.Context) error
	// Restore starts a killed host again, with the disks of its nodes.
	Restore(ctx context.Context) error
	// Pid is the id of the host's process; 0 is this process.
	Pid() int
	// Close ends the host.
	Close()
}
