// Package membership tracks which agents of a fleet are alive and carries messages between them.
// It is built on hashicorp/memberlist, which provides gossip, failure detection and anti-entropy.
//
// Messages are sent as datagrams: they may be lost, duplicated or reordered, but a message that is delivered is
// complete and no larger than MaxMessage. A peer of another fleet or protocol version is rejected, and the reason
// is logged.
package membership

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
)

const (
	// Version is the version of the protocol between peers. A peer with another one is rejected.
	Version = 2
	// MaxMessage bounds a message, in bytes, so that it fits into one datagram.
	MaxMessage = 1300
	// MaxState bounds the state that two peers exchange over a stream, in bytes.
	MaxState = 512 << 10
	// MaxMembers bounds the number of members of a fleet.
	MaxMembers = 4096
	// receiveRate is the number of messages accepted per second, receiveBurst the number accepted at once.
	// Messages above these limits are dropped.
	receiveRate, receiveBurst = 2000, 2000
	// joinInterval is the mean time between two attempts to join the seeds that are not members.
	joinInterval = 2 * time.Second
	// leaveTimeout bounds how long the agent waits to leave the fleet gracefully.
	leaveTimeout = 500 * time.Millisecond
	// rejectionLogInterval is the least time between two log lines about the rejection of the same peer.
	rejectionLogInterval = time.Minute
)

// Config describes this agent and how it finds its fleet.
type Config struct {
	Fleet       string // name of the fleet; peers of another one are rejected
	Name        string // name of this agent, unique in the fleet
	Zone        string
	Region      string
	Role        string
	Incarnation uint64   // identifies this run of the process
	Bind        string   // host:port to listen on, UDP and TCP
	Advertise   string   // host:port at which peers reach this agent; Bind if empty
	Seeds       []string // host:port of the peers to join first
}

// Peer describes a member of the fleet, this agent included.
type Peer struct {
	Name        string
	Zone        string
	Region      string
	Role        string
	Incarnation uint64
	Version     int
}

// nodeMeta is the metadata that memberlist gossips about a member. It is encoded as a msgpack array, so the order
// of the fields is part of the protocol.
type nodeMeta struct {
	Version     int
	Fleet       string
	Zone        string
	Region      string
	Role        string
	Incarnation uint64
}

// Kind identifies the task that a message is for.
type Kind byte

// Send is a request to send a message to a peer. If the mailbox is full, the oldest queued request is dropped,
// because each message carries the complete state of its kind.
type Send struct {
	To   string // name of the peer
	Kind Kind
	Body []byte
}

// Sync is a request to exchange states with the peer named With over a stream, as when joining.
type Sync struct{ With string }

// Overflow implements supervisor.Message.
func (Send) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// Overflow implements supervisor.Message. A Sync may be dropped, because it is requested again.
func (Sync) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

// MergeInto implements supervisor.Merger. The newest message of a kind to a peer replaces older ones.
func (s Send) MergeInto(queued supervisor.Message) (supervisor.Message, bool) {
	q, ok := queued.(Send)
	return s, ok && q.To == s.To && q.Kind == s.Kind
}

// MergeInto implements supervisor.Merger.
func (s Sync) MergeInto(queued supervisor.Message) (supervisor.Message, bool) {
	q, ok := queued.(Sync)
	return s, ok && q == s
}

// Handler handles messages, states and membership changes. Its methods are called concurrently from the library's
// goroutines and must not block.
type Handler interface {
	// HandleMessage receives a message. The sender is not known.
	HandleMessage(kind Kind, body []byte)
	// LocalState returns the state to send to a peer over a stream, encoded by Encode.
	LocalState() []byte
	// MergeState receives the state that a peer's LocalState returned.
	MergeState(state []byte)
	// MembersChanged receives the current members, including this agent, ordered by name.
	MembersChanged([]Peer)
}

// mailboxSize is enough for one message to each peer of a site.
const mailboxSize = 512

// Gossip is the task that joins the fleet and carries messages. Its mailbox accepts Send and Sync requests.
type Gossip struct {
	config         Config
	handler        Handler
	mailbox        *supervisor.Mailbox
	receiveLimiter *rate.Limiter

	mu         sync.Mutex                  // guards the fields below
	nodes      map[string]*memberlist.Node // members by name
	peers      map[string]Peer             // members by name
	lastLogged map[string]time.Time        // time of the last logged rejection, by name
}

// New returns a Gossip that does nothing until Run is called.
func New(config Config, handler Handler) *Gossip {
	return &Gossip{config: config, handler: handler, mailbox: supervisor.NewMailbox(mailboxSize),
		receiveLimiter: rate.NewLimiter(receiveRate, receiveBurst),
		nodes:          map[string]*memberlist.Node{}, peers: map[string]Peer{}, lastLogged: map[string]time.Time{}}
}

// Mailbox returns the mailbox for Send and Sync requests.
func (g *Gossip) Mailbox() *supervisor.Mailbox { return g.mailbox }

// Run joins the fleet and carries messages until ctx is done; then it leaves the fleet gracefully. It may be
// called again after it has returned.
func (g *Gossip) Run(ctx context.Context) error {
	libraryConfig, err := g.libraryConfig()
	if err != nil {
		return err
	}
	g.mu.Lock()
	clear(g.nodes) // an earlier call of Run may have left members
	clear(g.peers)
	g.mu.Unlock()
	list, err := memberlist.Create(libraryConfig)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	defer func() {
		if err := errors.Join(list.Leave(leaveTimeout), list.Shutdown()); err != nil {
			slog.Warn("membership: leaving failed", "err", err)
		}
	}()
	slog.Info("membership: listening", "fleet", g.config.Fleet, "addr", g.config.Bind)
	// A join of an unreachable peer takes seconds. Each join runs on its own goroutine, so that messages to
	// reachable peers don't wait for it.
	joins := newJoinCalls(list)
	defer joins.wait()
	joinTimer := time.NewTimer(0)
	defer joinTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.mailbox.Ready():
			for msg, ok := g.mailbox.Poll(); ok; msg, ok = g.mailbox.Poll() {
				switch msg := msg.(type) {
				case Send:
					g.sendMessage(list, msg)
				case Sync:
					if n := g.node(msg.With); n != nil {
						joins.join(n.Address())
					}
				}
			}
		case <-joinTimer.C:
			for _, seed := range g.missingSeeds(list) {
				joins.join(seed)
			}
			joinTimer.Reset(joinInterval/2 + rand.N(joinInterval))
		}
	}
}

// joinCalls tracks the joins in flight: at most one for each address and at most maxJoinCalls in total.
type joinCalls struct {
	memberlist *memberlist.Memberlist
	running    sync.WaitGroup
	mu         sync.Mutex
	inFlight   map[string]bool // by address
}

const maxJoinCalls = 8

func newJoinCalls(m *memberlist.Memberlist) *joinCalls {
	return &joinCalls{memberlist: m, inFlight: map[string]bool{}}
}

// wait blocks until no join is in flight.
func (c *joinCalls) wait() { c.running.Wait() }

// join starts to join the peer at an address. It does nothing if a join of that address or maxJoinCalls joins
// are in flight.
func (c *joinCalls) join(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[addr] || len(c.inFlight) >= maxJoinCalls {
		return // the next joinTimer or Sync retries
	}
	c.inFlight[addr] = true
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		_, _ = c.memberlist.Join([]string{addr}) // the library logs an error; joinTimer or the next Sync retries
		c.mu.Lock()
		delete(c.inFlight, addr)
		c.mu.Unlock()
	}()
}

// missingSeeds returns the addresses of the seeds that are not members, in random order. Joining them reconnects
// the two sides of a partition.
func (g *Gossip) missingSeeds(list *memberlist.Memberlist) (out []string) {
	present := map[string]bool{g.advertisedAddr(): true}
	for _, n := range list.Members() {
		present[n.Address()] = true
	}
	for _, s := range g.config.Seeds {
		if !present[s] {
			out = append(out, s)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// advertisedAddr returns the address at which peers reach this agent.
func (g *Gossip) advertisedAddr() string {
	if g.config.Advertise != "" {
		return g.config.Advertise
	}
	return g.config.Bind
}

// sendMessage sends a message as a datagram if the peer is a member.
func (g *Gossip) sendMessage(list *memberlist.Memberlist, message Send) {
	node := g.node(message.To)
	if node == nil || len(message.Body) >= MaxMessage {
		return // the peer is not a member, or the message exceeds the limit, which no task's messages do
	}
	// An error is ignored, as senders repeat messages that are still current.
	_ = list.SendBestEffort(node, append([]byte{byte(message.Kind)}, message.Body...))
}

// node returns the library's record of a peer, or nil if it is not a member.
func (g *Gossip) node(name string) *memberlist.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nodes[name]
}

// libraryConfig returns the configuration of memberlist, with an open transport.
func (g *Gossip) libraryConfig() (*memberlist.Config, error) {
	bind, err := parseAddr("bind", g.config.Bind)
	if err != nil {
		return nil, err
	}
	advertised, err := parseAddr("advertise", g.advertisedAddr())
	if err != nil {
		return nil, err
	}
	logger := log.New(logWriter{}, "", 0)
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{bind.IP.String()}, BindPort: bind.Port, Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("membership: bind: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Logger = g.config.Name, logger
	c.Transport = &boundTransport{NetTransport: transport, localAddr: &net.TCPAddr{IP: bind.IP}}
	c.BindAddr, c.BindPort = bind.IP.String(), bind.Port
	c.AdvertiseAddr, c.AdvertisePort = advertised.IP.String(), advertised.Port
	c.TCPTimeout, c.PushPullInterval = 2*time.Second, 15*time.Second
	c.DeadNodeReclaimTime = time.Second // a restarted agent may have another address
	c.EnableCompression = false         // messages are small
	d := &delegate{g}
	c.Delegate, c.Events, c.Alive, c.Merge = d, d, d, d
	return c, nil
}

// parseAddr parses the value of a key of the operations file that is an address with a port.
func parseAddr(key, text string) (*net.TCPAddr, error) {
	host, port, err := net.SplitHostPort(text)
	n, portErr := strconv.ParseUint(port, 10, 16)
	ip := net.ParseIP(host)
	if err != nil || portErr != nil || n == 0 || ip == nil {
		return nil, fmt.Errorf("membership: %s: %q is not HOST:PORT", key, text)
	}
	return &net.TCPAddr{IP: ip, Port: int(n)}, nil
}

// boundTransport dials streams from the address that datagrams are sent from. On a machine with several
// addresses, peers identify an agent by this address.
type boundTransport struct {
	*memberlist.NetTransport
	localAddr *net.TCPAddr
}

// DialTimeout implements memberlist.Transport.
func (t *boundTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *boundTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: t.localAddr}
	return d.Dial("tcp", a.Addr)
}

// delegate implements the callbacks of memberlist.
type delegate struct{ gossip *Gossip }

// msgpackHandle encodes structs as arrays.
var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}()

// Encode encodes a value as msgpack, with structs as arrays. All messages and states use this encoding.
func Encode(v any) ([]byte, error) {
	var out []byte
	if err := codec.NewEncoderBytes(&out, msgpackHandle).Encode(v); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	return out, nil
}

// Decode decodes a value that Encode encoded. It returns an error if the body is invalid or exceeds MaxState.
func Decode(body []byte, v any) error {
	if len(body) > MaxState {
		return fmt.Errorf("membership: message of %d bytes exceeds the limit of %d", len(body), MaxState)
	}
	if err := codec.NewDecoderBytes(body, msgpackHandle).Decode(v); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	return nil
}

// NodeMeta implements memberlist.Delegate.
func (d *delegate) NodeMeta(limit int) []byte {
	c := &d.gossip.config
	meta, err := Encode(nodeMeta{Version, c.Fleet, c.Zone, c.Region, c.Role, c.Incarnation})
	if err != nil || len(meta) > limit {
		slog.Error("membership: node metadata exceeds the limit: shorten fleet, zone, region or role",
			"bytes", len(meta), "most", limit, "err", err)
		return nil
	}
	return meta
}

// NotifyMsg implements memberlist.Delegate. It drops messages of an invalid size and those above receiveRate.
func (d *delegate) NotifyMsg(body []byte) {
	if len(body) < 2 || len(body) > MaxMessage || !d.gossip.receiveLimiter.Allow() {
		return
	}
	d.gossip.handler.HandleMessage(Kind(body[0]), slices.Clone(body[1:])) // the library reuses its buffer
}

// GetBroadcasts implements memberlist.Delegate. Nothing is broadcast.
func (*delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate. It sends no state larger than MaxState, as the receiver would drop it.
func (d *delegate) LocalState(bool) []byte {
	state := d.gossip.handler.LocalState()
	if len(state) > MaxState {
		slog.Error("membership: state not sent, it exceeds the limit", "bytes", len(state), "most", MaxState)
		return nil
	}
	return state
}

// MergeRemoteState implements memberlist.Delegate. It drops a state larger than MaxState.
func (d *delegate) MergeRemoteState(state []byte, _ bool) {
	if len(state) > 0 && len(state) <= MaxState {
		d.gossip.handler.MergeState(slices.Clone(state))
	}
}

// NotifyAlive implements memberlist.AliveDelegate. Its error rejects a peer that may not be a member.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	_, err := d.gossip.validate(n)
	if err != nil {
		d.gossip.logRejected(n, err)
	}
	return err
}

// NotifyMerge implements memberlist.MergeDelegate. Its error rejects a state that lists a peer that may not be a
// member.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if _, err := d.gossip.validate(n); err != nil {
			d.gossip.logRejected(n, err)
			return err
		}
	}
	return nil
}

// validate decodes the metadata of a peer. It returns an error if the peer may not be a member of this fleet.
func (g *Gossip) validate(n *memberlist.Node) (Peer, error) {
	var meta nodeMeta
	if err := Decode(n.Meta, &meta); err != nil {
		return Peer{}, fmt.Errorf("metadata can't be decoded: %w", err)
	}
	g.mu.Lock()
	_, known := g.peers[n.Name]
	count := len(g.peers)
	g.mu.Unlock()
	switch {
	case meta.Fleet != g.config.Fleet:
		return Peer{}, fmt.Errorf("fleet: peer belongs to %q, this agent to %q", meta.Fleet, g.config.Fleet)
	case meta.Version != Version:
		return Peer{}, fmt.Errorf("version: peer has protocol version %d, this agent %d", meta.Version, Version)
	case !known && count >= MaxMembers:
		return Peer{}, fmt.Errorf("members: the limit of %d is reached", MaxMembers)
	}
	return Peer{n.Name, meta.Zone, meta.Region, meta.Role, meta.Incarnation, meta.Version}, nil
}

// logRejected logs the rejection of a peer, at most once per rejectionLogInterval for each peer.
func (g *Gossip) logRejected(n *memberlist.Node, reason error) {
	g.mu.Lock()
	now := time.Now()
	suppressed := now.Sub(g.lastLogged[n.Name]) < rejectionLogInterval && !g.lastLogged[n.Name].IsZero()
	if !suppressed {
		if len(g.lastLogged) >= MaxMembers {
			clear(g.lastLogged)
		}
		g.lastLogged[n.Name] = now
	}
	g.mu.Unlock()
	if !suppressed {
		slog.Warn("membership: peer rejected", "peer", n.Name, "addr", n.Address(), "why", reason)
	}
}

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.gossip.update(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.gossip.update(n) }

// update records a new or changed member and notifies the handler.
func (g *Gossip) update(n *memberlist.Node) {
	peer, err := g.validate(n)
	if err != nil {
		return // rejected and logged by NotifyAlive
	}
	node := *n
	g.mu.Lock()
	g.nodes[n.Name], g.peers[n.Name] = &node, peer
	g.mu.Unlock()
	g.notifyMembers()
}

// NotifyLeave implements memberlist.EventDelegate.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.gossip.mu.Lock()
	delete(d.gossip.nodes, n.Name)
	delete(d.gossip.peers, n.Name)
	d.gossip.mu.Unlock()
	d.gossip.notifyMembers()
}

// notifyMembers passes the current members to the handler.
func (g *Gossip) notifyMembers() {
	g.mu.Lock()
	members := make([]Peer, 0, len(g.peers))
	for _, peer := range g.peers {
		members = append(members, peer)
	}
	g.mu.Unlock()
	slices.SortFunc(members, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	g.handler.MembersChanged(members)
}

// logWriter writes the library's log lines to the agent's log, with a level that follows from their prefix.
type logWriter struct{}

func (logWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	level := slog.LevelDebug
	switch {
	case strings.HasPrefix(text, "[ERR]"):
		level = slog.LevelInfo // not an error of the agent: it concerns one message or dial, which is retried
	case strings.HasPrefix(text, "[WARN]"):
		level = slog.LevelDebug
	}
	slog.Log(context.Background(), level, "membership: library", "line", text)
	return len(line), nil
}
