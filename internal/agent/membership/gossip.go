// Package membership is who of the fleet is there, as seen from one agent, and carries the layer's
// messages between agents. It rides on memberlist: gossip, failure detection and anti-entropy
// are the library's.
//
// Guaranteed: a message is handed on at most once for each time it arrives, whole, and no
// larger than MaxMessage; who speaks for another fleet or in another version is turned away,
// and the reason is in the log. Not guaranteed: that a message arrives, or the order in which
// they do.
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
	// Version is that of what peers tell each other. Another is turned away.
	Version = 2
	// MaxMessage bounds a message, in bytes: it is to fit one datagram.
	MaxMessage = 1300
	// MaxState bounds what two peers hand each other over a stream, in bytes.
	MaxState = 512 << 10
	// MaxMembers bounds the fleet.
	MaxMembers = 4096
	// receiveRate and receiveBurst bound the messages that are taken; over it they are dropped.
	receiveRate, receiveBurst = 2000, 2000
	// joinInterval is the mean time between two tries to reach peers that are missing.
	joinInterval = 2 * time.Second
	// leaveTimeout bounds the orderly leave.
	leaveTimeout = 500 * time.Millisecond
	// rejectionLogInterval bounds how often what one peer does wrong is logged.
	rejectionLogInterval = time.Minute
)

// Config is what an agent is told of its fleet.
type Config struct {
	Fleet       string // its name; peers of another are turned away
	Name        string // this agent's, unique in the fleet
	Zone        string
	Region      string
	Role        string
	Incarnation uint64 // names this life of the process
	Bind        string // host:port, for UDP and TCP
	Advertise   string // host:port where others reach it; empty: Bind
	Seeds       []string
}

// Peer is another agent, or this one.
type Peer struct {
	Name        string
	Zone        string
	Region      string
	Role        string
	Incarnation uint64
	Version     int
}

// nodeMeta is what travels with a member, as an array of msgpack.
type nodeMeta struct {
	Version     int
	Fleet       string
	Zone        string
	Region      string
	Role        string
	Incarnation uint64
}

// Kind tells which part of the layer a message is for.
type Kind byte

// Send is a message for a peer. Where the mailbox is full the oldest goes: each says all
// that its sender has to say of its kind.
type Send struct {
	To   string
	Kind Kind
	Body []byte
}

// Sync exchanges states with a peer over a stream, as at a join.
type Sync struct{ With string }

// Overflow implements task.Message.
func (Send) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// Overflow implements task.Message: it is asked for again.
func (Sync) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

// MergeInto implements task.Merger: the newest of a kind to a peer is enough.
func (s Send) MergeInto(queued supervisor.Message) (supervisor.Message, bool) {
	q, ok := queued.(Send)
	return s, ok && q.To == s.To && q.Kind == s.Kind
}

// MergeInto implements task.Merger.
func (s Sync) MergeInto(queued supervisor.Message) (supervisor.Message, bool) {
	q, ok := queued.(Sync)
	return s, ok && q == s
}

// Handler takes what peers bring; its methods must not block, and are called from the library's
// goroutines.
type Handler interface {
	// HandleMessage is a message; from whom it does not say.
	HandleMessage(kind Kind, body []byte)
	// LocalState is handed to a peer over a stream, and Merge is what a peer hands over; both in the
	// form of Encode.
	LocalState() []byte
	MergeState(state []byte)
	// MembersChanged is who is there now, this agent included, by name.
	MembersChanged([]Peer)
}

// mailboxSize is for one letter to each peer of a site.
const mailboxSize = 512

// Gossip is a task. Its mailbox takes Send and Sync.
type Gossip struct {
	config         Config
	handler        Handler
	mailbox        *supervisor.Mailbox
	receiveLimiter *rate.Limiter

	mu         sync.Mutex // of what the library's goroutines touch:
	nodes      map[string]*memberlist.Node
	peers      map[string]Peer
	lastLogged map[string]time.Time
}

// New returns the task; Run is its life.
func New(config Config, handler Handler) *Gossip {
	return &Gossip{config: config, handler: handler, mailbox: supervisor.NewMailbox(mailboxSize), receiveLimiter: rate.NewLimiter(receiveRate, receiveBurst),
		nodes: map[string]*memberlist.Node{}, peers: map[string]Peer{}, lastLogged: map[string]time.Time{}}
}

// Mailbox takes Send and Sync.
func (p *Gossip) Mailbox() *supervisor.Mailbox { return p.mailbox }

// Run joins the fleet and carries messages until ctx is done; then it leaves in order.
func (p *Gossip) Run(ctx context.Context) error {
	libraryConfig, err := p.libraryConfig()
	if err != nil {
		return err
	}
	p.mu.Lock()
	clear(p.nodes) // of an earlier life of the task
	clear(p.peers)
	p.mu.Unlock()
	list, err := memberlist.Create(libraryConfig)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer func() {
		if err := errors.Join(list.Leave(leaveTimeout), list.Shutdown()); err != nil {
			slog.Warn("peers: not left in order", "err", err)
		}
	}()
	slog.Info("peers: listening", "fleet", p.config.Fleet, "addr", p.config.Bind)
	// A call to a peer that is cut off takes seconds: none is on this goroutine, and each is on
	// one of its own, as those that can be reached must not wait for it.
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

// joinCalls are the joins under way, one to an address at a time and at most maxJoinCalls.
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
		return // it is asked for again
	}
	c.inFlight[addr] = true
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		_, _ = c.memberlist.Join([]string{addr}) // tried again while it is missing, and logged by the library
		c.mu.Lock()
		delete(c.inFlight, addr)
		c.mu.Unlock()
	}()
}

// missingSeeds are the seeds that are not there, in no order. A split heals by them from either
// side.
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
		return // it is not there; or nothing of the layer is so large
	}
	_ = list.SendBestEffort(node, append([]byte{byte(message.Kind)}, message.Body...)) // as best it can: whoever needs it says it again
}

// node is a peer as the library knows it; nil if it is not there.
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
		return nil, fmt.Errorf("peers: bind: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Logger = p.config.Name, logger
	c.Transport = &boundTransport{NetTransport: transport, localAddr: &net.TCPAddr{IP: bind.IP}}
	c.BindAddr, c.BindPort = bind.IP.String(), bind.Port
	c.AdvertiseAddr, c.AdvertisePort = advertised.IP.String(), advertised.Port
	c.TCPTimeout, c.PushPullInterval = 2*time.Second, 15*time.Second
	c.DeadNodeReclaimTime = time.Second // a restarted agent may come under another address
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
		return nil, fmt.Errorf("peers: %s: %q is no address and port", key, text)
	}
	return &net.TCPAddr{IP: ip, Port: int(n)}, nil
}

// boundTransport makes streams come from the address that datagrams come from: on a machine with
// many addresses others know an agent by it.
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

// delegate is what the library calls.
type delegate struct{ gossip *Gossip }

var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}()

// Encode is a value as an array of msgpack, the form of all messages.
func Encode(v any) ([]byte, error) {
	var out []byte
	if err := codec.NewEncoderBytes(&out, msgpackHandle).Encode(v); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return out, nil
}

// Decode reads what Encode wrote; whatever else it is given is an error.
func Decode(body []byte, v any) error {
	if len(body) > MaxState {
		return fmt.Errorf("peers: a message of %d bytes, at most %d are taken", len(body), MaxState)
	}
	if err := codec.NewDecoderBytes(body, msgpackHandle).Decode(v); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}

func (d *delegate) NodeMeta(limit int) []byte {
	c := &d.gossip.config
	text, err := Encode(nodeMeta{Version, c.Fleet, c.Zone, c.Region, c.Role, c.Incarnation})
	if err != nil || len(text) > limit {
		slog.Error("peers: zone, region and role are too long to be told", "bytes", len(text), "most", limit, "err", err)
		return nil
	}
	return text
}

func (d *delegate) NotifyMsg(body []byte) {
	if len(body) < 2 || len(body) > MaxMessage || !d.gossip.receiveLimiter.Allow() {
		return
	}
	d.gossip.handler.HandleMessage(Kind(body[0]), slices.Clone(body[1:])) // the library uses its own again
}

func (*delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState is what a peer gets over a stream; more than it would take is not sent.
func (d *delegate) LocalState(bool) []byte {
	state := d.gossip.handler.LocalState()
	if len(state) > MaxState {
		slog.Error("peers: state not handed over", "bytes", len(state), "most", MaxState)
		return nil
	}
	return state
}

// MergeRemoteState takes a peer's.
func (d *delegate) MergeRemoteState(state []byte, _ bool) {
	if len(state) > 0 && len(state) <= MaxState {
		d.gossip.handler.MergeState(slices.Clone(state))
	}
}

// NotifyAlive turns away who is not of this fleet.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	_, err := d.gossip.validate(n)
	if err != nil {
		d.gossip.logRejected(n, err)
	}
	return err
}

// NotifyMerge turns away the whole state of another fleet.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if _, err := d.gossip.validate(n); err != nil {
			d.gossip.logRejected(n, err)
			return err
		}
	}
	return nil
}

// validate tells whether a member may be of this fleet.
func (p *Gossip) validate(n *memberlist.Node) (Peer, error) {
	var meta nodeMeta
	if err := Decode(n.Meta, &meta); err != nil {
		return Peer{}, fmt.Errorf("its description can't be read: %w", err)
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

// logRejected logs a refusal, seldom for each peer.
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
		slog.Warn("peers: turned away", "peer", n.Name, "addr", n.Address(), "why", reason)
	}
}

func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.gossip.update(n) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.gossip.update(n) }

func (p *Gossip) update(n *memberlist.Node) {
	peer, err := p.validate(n)
	if err != nil {
		return // turned away before
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

// logWriter hands the library's log lines on, at the level that they name.
type logWriter struct{}

func (logWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	level := slog.LevelDebug
	switch {
	case strings.HasPrefix(text, "[ERR]"):
		level = slog.LevelInfo // of one message or call, which is made again
	case strings.HasPrefix(text, "[WARN]"):
		level = slog.LevelDebug
	}
	slog.Log(context.Background(), level, "peers: library", "line", text)
	return len(line), nil
}
