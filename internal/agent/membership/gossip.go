// Package membership tracks which agents of a fleet are alive and carries messages between them.
// It is built on hashicorp/memberlist, which provides gossip, failure detection and anti-entropy.
//
// Guaranteed: a message is delivered at most once for each time it arrives, complete, and no
// larger than MaxMessage; a peer of another fleet or protocol version is rejected, with the
// reason in the log. Not guaranteed: delivery, and the order of messages.
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
	// receiveRate and receiveBurst limit the messages accepted a second; messages above
	// the limit are dropped.
	receiveRate, receiveBurst = 2000, 2000
	// joinInterval is the mean time between two attempts to join seeds that are missing.
	joinInterval = 2 * time.Second
	// leaveTimeout bounds the graceful leave.
	leaveTimeout = 500 * time.Millisecond
	// rejectionLogInterval bounds how often the rejection of one peer is logged.
	rejectionLogInterval = time.Minute
)

// Config describes this agent and how it finds its fleet.
type Config struct {
	Fleet       string // name of the fleet; peers of another one are rejected
	Name        string // name of this agent, unique in the fleet
	Zone        string
	Region      string
	Role        string
	Incarnation uint64 // identifies this run of the process
	Bind        string // host:port, for UDP and TCP
	Advertise   string // host:port at which peers reach this agent; empty: Bind
	Seeds       []string
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

// nodeMeta is the metadata that memberlist gossips with a member, as an array of msgpack.
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

// Send is a request to send a message to a peer. If the mailbox is full, the oldest one is
// dropped: each message carries the complete state of its kind.
type Send struct {
	To   string
	Kind Kind
	Body []byte
}

// Sync is a request to exchange states with a peer over a stream, as at a join.
type Sync struct{ With string }

// Overflow implements supervisor.Message.
func (Send) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// Overflow implements supervisor.Message: a dropped Sync is requested again.
func (Sync) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

// MergeInto implements supervisor.Merger: the newest message of a kind to a peer replaces older ones.
func (s Send) MergeInto(queued supervisor.Message) (supervisor.Message, bool) {
	q, ok := queued.(Send)
	return s, ok && q.To == s.To && q.Kind == s.Kind
}

// MergeInto implements supervisor.Merger.
func (s Sync) MergeInto(queued supervisor.Message) (supervisor.Message, bool) {
	q, ok := queued.(Sync)
	return s, ok && q == s
}

// Handler receives what comes from peers. Its methods are called concurrently from the library's
// goroutines and must not block.
type Handler interface {
	// HandleMessage takes a message. Its sender is not known.
	HandleMessage(kind Kind, body []byte)
	// LocalState returns what is sent to a peer over a stream, and MergeState takes what a
	// peer sent; both are encoded by Encode.
	LocalState() []byte
	MergeState(state []byte)
	// MembersChanged takes the current members, this agent included, ordered by name.
	MembersChanged([]Peer)
}

// mailboxSize is enough for one message to each peer of a site.
const mailboxSize = 512

// Gossip is a task that joins the fleet and carries messages. Its mailbox takes Send and Sync.
type Gossip struct {
	config         Config
	handler        Handler
	mailbox        *supervisor.Mailbox
	receiveLimiter *rate.Limiter

	mu         sync.Mutex // guards the fields below
	nodes      map[string]*memberlist.Node
	peers      map[string]Peer
	lastLogged map[string]time.Time
}

// New returns a task that does nothing until Run is called.
func New(config Config, handler Handler) *Gossip {
	return &Gossip{config: config, handler: handler, mailbox: supervisor.NewMailbox(mailboxSize), receiveLimiter: rate.NewLimiter(receiveRate, receiveBurst),
		nodes: map[string]*memberlist.Node{}, peers: map[string]Peer{}, lastLogged: map[string]time.Time{}}
}

// Mailbox returns the mailbox for Send and Sync requests.
func (p *Gossip) Mailbox() *supervisor.Mailbox { return p.mailbox }

// Run joins the fleet and carries messages until ctx is done; then it leaves gracefully. It may be
// called again after it has returned.
func (p *Gossip) Run(ctx context.Context) error {
	libraryConfig, err := p.libraryConfig()
	if err != nil {
		return err
	}
	p.mu.Lock()
	clear(p.nodes) // left by an earlier run of the task
	clear(p.peers)
	p.mu.Unlock()
	list, err := memberlist.Create(libraryConfig)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	defer func() {
		if err := errors.Join(list.Leave(leaveTimeout), list.Shutdown()); err != nil {
			slog.Warn("membership: leaving failed", "err", err)
		}
	}()
	slog.Info("membership: listening", "fleet", p.config.Fleet, "addr", p.config.Bind)
	// A join of an unreachable peer takes seconds, so each runs on a goroutine of its own: messages
	// to reachable peers must not wait for it.
	joins := newJoinCalls(list)
	defer joins.wait()
	joinTimer := time.NewTimer(0)
	defer joinTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.mailbox.Ready():
			for msg, ok := p.mailbox.Poll(); ok; msg, ok = p.mailbox.Poll() {
				switch msg := msg.(type) {
				case Send:
					p.sendMessage(list, msg)
				case Sync:
					if n := p.node(msg.With); n != nil {
						joins.join(n.Address())
					}
				}
			}
		case <-joinTimer.C:
			for _, seed := range p.missingSeeds(list) {
				joins.join(seed)
			}
			joinTimer.Reset(joinInterval/2 + rand.N(joinInterval))
		}
	}
}

// joinCalls are the joins in flight, at most one for each address and at most maxJoinCalls.
type joinCalls struct {
	memberlist *memberlist.Memberlist
	running    sync.WaitGroup
	mu         sync.Mutex
	inFlight   map[string]bool
}

const maxJoinCalls = 8

func newJoinCalls(m *memberlist.Memberlist) *joinCalls {
	return &joinCalls{memberlist: m, inFlight: map[string]bool{}}
}

func (c *joinCalls) wait() { c.running.Wait() }

func (c *joinCalls) join(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[addr] || len(c.inFlight) >= maxJoinCalls {
		return // the join timer or the next Sync will retry
	}
	c.inFlight[addr] = true
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		_, _ = c.memberlist.Join([]string{addr}) // retried while the seed is missing, and logged by the library
		c.mu.Lock()
		delete(c.inFlight, addr)
		c.mu.Unlock()
	}()
}

// missingSeeds returns the seeds that are not members, in random order. Joining them heals a
// partition from either side.
func (p *Gossip) missingSeeds(list *memberlist.Memberlist) (out []string) {
	present := map[string]bool{p.advertisedAddr(): true}
	for _, n := range list.Members() {
		present[n.Address()] = true
	}
	for _, s := range p.config.Seeds {
		if !present[s] {
			out = append(out, s)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (p *Gossip) advertisedAddr() string {
	if p.config.Advertise != "" {
		return p.config.Advertise
	}
	return p.config.Bind
}

func (p *Gossip) sendMessage(list *memberlist.Memberlist, message Send) {
	node := p.node(message.To)
	if node == nil || len(message.Body) >= MaxMessage {
		return // the peer has left; or the message is over the limit, which no task exceeds
	}
	_ = list.SendBestEffort(node, append([]byte{byte(message.Kind)}, message.Body...)) // best effort: senders repeat what still holds
}

// node returns the library's record of a peer, or nil if it is not a member.
func (p *Gossip) node(name string) *memberlist.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodes[name]
}

func (p *Gossip) libraryConfig() (*memberlist.Config, error) {
	bind, err := parseAddr("bind", p.config.Bind)
	if err != nil {
		return nil, err
	}
	advertised, err := parseAddr("advertise", p.advertisedAddr())
	if err != nil {
		return nil, err
	}
	logger := log.New(logWriter{}, "", 0)
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{bind.IP.String()}, BindPort: bind.Port, Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("membership: bind: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Logger = p.config.Name, logger
	c.Transport = &boundTransport{NetTransport: transport, localAddr: &net.TCPAddr{IP: bind.IP}}
	c.BindAddr, c.BindPort = bind.IP.String(), bind.Port
	c.AdvertiseAddr, c.AdvertisePort = advertised.IP.String(), advertised.Port
	c.TCPTimeout, c.PushPullInterval = 2*time.Second, 15*time.Second
	c.DeadNodeReclaimTime = time.Second // a restarted agent may have another address
	c.EnableCompression = false         // messages are small
	d := &delegate{p}
	c.Delegate, c.Events, c.Alive, c.Merge = d, d, d, d
	return c, nil
}

func parseAddr(key, text string) (*net.TCPAddr, error) {
	host, port, err := net.SplitHostPort(text)
	n, bad := strconv.ParseUint(port, 10, 16)
	ip := net.ParseIP(host)
	if err != nil || bad != nil || n == 0 || ip == nil {
		return nil, fmt.Errorf("membership: %s: %q is not HOST:PORT", key, text)
	}
	return &net.TCPAddr{IP: ip, Port: int(n)}, nil
}

// boundTransport dials streams from the address that datagrams are sent from: on a machine with
// several addresses peers identify an agent by it.
type boundTransport struct {
	*memberlist.NetTransport
	localAddr *net.TCPAddr
}

func (t *boundTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *boundTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: t.localAddr}
	return d.Dial("tcp", a.Addr)
}

// delegate implements the callbacks of the library.
type delegate struct{ gossip *Gossip }

var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}()

// Encode encodes a value as an array of msgpack, the form of all messages.
func Encode(v any) ([]byte, error) {
	var out []byte
	if err := codec.NewEncoderBytes(&out, msgpackHandle).Encode(v); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	return out, nil
}

// Decode decodes what Encode wrote. Anything else is an error.
func Decode(body []byte, v any) error {
	if len(body) > MaxState {
		return fmt.Errorf("membership: a message of %d bytes is over the limit of %d", len(body), MaxState)
	}
	if err := codec.NewDecoderBytes(body, msgpackHandle).Decode(v); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	return nil
}

func (d *delegate) NodeMeta(limit int) []byte {
	c := &d.gossip.config
	text, err := Encode(nodeMeta{Version, c.Fleet, c.Zone, c.Region, c.Role, c.Incarnation})
	if err != nil || len(text) > limit {
		slog.Error("membership: zone, region and role exceed the limit of node metadata", "bytes", len(text), "most", limit, "err", err)
		return nil
	}
	return text
}

func (d *delegate) NotifyMsg(body []byte) {
	if len(body) < 2 || len(body) > MaxMessage || !d.gossip.receiveLimiter.Allow() {
		return
	}
	d.gossip.handler.HandleMessage(Kind(body[0]), slices.Clone(body[1:])) // the library reuses its buffer
}

func (*delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate. State over the limit of the receiver is not sent.
func (d *delegate) LocalState(bool) []byte {
	state := d.gossip.handler.LocalState()
	if len(state) > MaxState {
		slog.Error("membership: state over the limit is not sent", "bytes", len(state), "most", MaxState)
		return nil
	}
	return state
}

// MergeRemoteState implements memberlist.Delegate.
func (d *delegate) MergeRemoteState(state []byte, _ bool) {
	if len(state) > 0 && len(state) <= MaxState {
		d.gossip.handler.MergeState(slices.Clone(state))
	}
}

// NotifyAlive implements memberlist.AliveDelegate: it rejects members of another fleet.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	_, err := d.gossip.validate(n)
	if err != nil {
		d.gossip.logRejected(n, err)
	}
	return err
}

// NotifyMerge implements memberlist.MergeDelegate: it rejects the state of another fleet.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if _, err := d.gossip.validate(n); err != nil {
			d.gossip.logRejected(n, err)
			return err
		}
	}
	return nil
}

// validate decodes the metadata of a member and reports why it may not be part of this fleet.
func (p *Gossip) validate(n *memberlist.Node) (Peer, error) {
	var meta nodeMeta
	if err := Decode(n.Meta, &meta); err != nil {
		return Peer{}, fmt.Errorf("its metadata can't be decoded: %w", err)
	}
	p.mu.Lock()
	_, known := p.peers[n.Name]
	count := len(p.peers)
	p.mu.Unlock()
	switch {
	case meta.Fleet != p.config.Fleet:
		return Peer{}, fmt.Errorf("fleet: it is of %q, this is %q", meta.Fleet, p.config.Fleet)
	case meta.Version != Version:
		return Peer{}, fmt.Errorf("version: it speaks %d, this %d", meta.Version, Version)
	case !known && count >= MaxMembers:
		return Peer{}, fmt.Errorf("members: %d are the most", MaxMembers)
	}
	return Peer{n.Name, meta.Zone, meta.Region, meta.Role, meta.Incarnation, meta.Version}, nil
}

// logRejected logs the rejection of a peer, at most once in rejectionLogInterval for each.
func (p *Gossip) logRejected(n *memberlist.Node, reason error) {
	p.mu.Lock()
	now := time.Now()
	suppressed := now.Sub(p.lastLogged[n.Name]) < rejectionLogInterval && !p.lastLogged[n.Name].IsZero()
	if !suppressed {
		if len(p.lastLogged) >= MaxMembers {
			clear(p.lastLogged)
		}
		p.lastLogged[n.Name] = now
	}
	p.mu.Unlock()
	if !suppressed {
		slog.Warn("membership: peer rejected", "peer", n.Name, "addr", n.Address(), "why", reason)
	}
}

func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.gossip.update(n) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.gossip.update(n) }

func (p *Gossip) update(n *memberlist.Node) {
	peer, err := p.validate(n)
	if err != nil {
		return // rejected and logged by NotifyAlive
	}
	node := *n
	p.mu.Lock()
	p.nodes[n.Name], p.peers[n.Name] = &node, peer
	p.mu.Unlock()
	p.notifyMembers()
}

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.gossip.mu.Lock()
	delete(d.gossip.nodes, n.Name)
	delete(d.gossip.peers, n.Name)
	d.gossip.mu.Unlock()
	d.gossip.notifyMembers()
}

func (p *Gossip) notifyMembers() {
	p.mu.Lock()
	members := make([]Peer, 0, len(p.peers))
	for _, x := range p.peers {
		members = append(members, x)
	}
	p.mu.Unlock()
	slices.SortFunc(members, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	p.handler.MembersChanged(members)
}

// logWriter passes the library's log lines on, at the level that they name.
type logWriter struct{}

func (logWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	level := slog.LevelDebug
	switch {
	case strings.HasPrefix(text, "[ERR]"):
		level = slog.LevelInfo // concerns one message or dial, which is retried
	case strings.HasPrefix(text, "[WARN]"):
		level = slog.LevelDebug
	}
	slog.Log(context.Background(), level, "membership: library", "line", text)
	return len(line), nil
}
