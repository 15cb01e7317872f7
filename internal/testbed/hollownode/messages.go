package hollownode

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// HostPlan describes the nodes and servers of one host.
type HostPlan struct {
	Seeds             []string      `msgpack:"s"`
	HeartbeatInterval time.Duration `msgpack:"b"`
	ToleratedLosses   int           `msgpack:"l"`
	Nodes             []NodeSpec    `msgpack:"n"`
	Servers           []int         `msgpack:"v"` // numbers of the servers that send heartbeats to nodes of this host
	AllServers        int           `msgpack:"a"` // number of servers of the whole fleet
	Services          int           `msgpack:"c"`
	Spread            time.Duration `msgpack:"p"` // time over which the nodes start
}

// The values of Request.Do.
const (
	doStart       = "start"  // start all nodes and servers; First: of a new fleet
	doReady       = "ready"  // wait until all running nodes are ready and know all servers
	doBeginWindow = "begin"  // begin the measurement
	doSubmit      = "submit" // submit Update through Node
	doWatch       = "watch"  // record when IDs are removed from the lists of servers
	doDrain       = "drain"  // drain server Node
	doWait        = "await"  // wait until all running nodes have applied configuration Seq and list none of IDs
	doStop        = "end"    // stop Node, at once unless Graceful
	doRestart     = "return" // start Node again and wait until it is ready
	doStatus      = "status" // report on the nodes
	doReport      = "report" // end the measurement, and report on Changes and Drains, too
)

// Request asks a host to do one thing.
type Request struct {
	Do       string       `msgpack:"d"`
	First    bool         `msgpack:"f,omitempty"`
	Node     int          `msgpack:"n,omitempty"`
	Graceful bool         `msgpack:"p,omitempty"`
	Update   chain.Update `msgpack:"o"`
	Seq      uint64       `msgpack:"s,omitempty"`
	IDs      []string     `msgpack:"i,omitempty"`
	Changes  []Change     `msgpack:"c,omitempty"`
	Drains   []Change     `msgpack:"r,omitempty"`
}

// Change is a change of the configuration or, with ID, the drain of a server. Times are of the machine's monotonic clock.
type Change struct {
	Seq     uint64        `msgpack:"q"`
	ID      string        `msgpack:"i,omitempty"`
	SentAt  time.Duration `msgpack:"s"`
	AckedAt time.Duration `msgpack:"a"`
}

// Propagation is how a change reached the nodes that were ready when it was sent.
type Propagation struct {
	Nodes   int           `msgpack:"n"`
	Missing int           `msgpack:"m"`
	Last    time.Duration `msgpack:"l"` // when it reached the last of them
}

// plus is the propagation to the nodes of both.
func (s Propagation) plus(o Propagation) Propagation {
	return Propagation{s.Nodes + o.Nodes, s.Missing + o.Missing, max(s.Last, o.Last)}
}

// Reply is the response to a Request.
type Reply struct {
	Result chain.Result  `msgpack:"v"`
	At     time.Duration `msgpack:"t"`
	ID     string        `msgpack:"i,omitempty"`
	Report *HostReport   `msgpack:"r,omitempty"`
}

// HostReport is the measurement of a host.
type HostReport struct {
	Nodes      []NodeReport  `msgpack:"n"`
	Changes    []Propagation `msgpack:"c"`
	Drains     []Propagation `msgpack:"d"`
	Heartbeats int64         `msgpack:"b"` // answered in the window
	Process    Usage         `msgpack:"p"`
}

// NodeReport is the measurement of a node.
type NodeReport struct {
	Name              string          `msgpack:"n"`
	Running           bool            `msgpack:"u"`
	Position          int             `msgpack:"p"` // in the chain, from 0; -1: not in it
	ChainLength       int             `msgpack:"l"` // members of it
	View              uint64          `msgpack:"v"`
	Servers           int             `msgpack:"s"` // that it lists
	Sessions          int             `msgpack:"e"`
	ReadyDelays       []time.Duration `msgpack:"r"` // of each incarnation, from its start; 0: never
	ServersKnownDelay time.Duration   `msgpack:"f"` // from the start of the first incarnation until it knew all servers
	Traffic           Traffic         `msgpack:"t"` // of the calls that it answered in the window
	TrafficBefore     Traffic         `msgpack:"b"` // from the start to the window
	LapsedLeases      int             `msgpack:"a"` // incarnations that changed their source because their lease had lapsed
}

// Usage is the resource usage of a process. Sizes are in bytes.
type Usage struct {
	CPU        time.Duration `msgpack:"c" json:"cpu"`       // in the window
	CPUBefore  time.Duration `msgpack:"t" json:"cpu-start"` // from the start to the window
	Heap       int64         `msgpack:"h" json:"heap"`      // live at the end, without what was live before the nodes
	Stacks     int64         `msgpack:"s" json:"stacks"`
	Goroutines int           `msgpack:"g" json:"goroutines"`
	RSS        int64         `msgpack:"r" json:"rss"`
	Peak       int64         `msgpack:"p" json:"rss-peak"`
	FDs        int           `msgpack:"f" json:"descriptors"`
}
