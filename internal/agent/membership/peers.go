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
	// takenPerS and takenBurst bound the messages that are taken; over it they are dropped.
	takenPerS, takenBurst = 2000, 2000
	// joinEvery is the mean time between two tries to reach peers that are missing.
	joinEvery = 2 * time.Second
	// leaveWithin bounds the orderly leave.
	leaveWithin = 500 * time.Millisecond
	// lineEvery bounds how often what one peer does wrong is logged.
	lineEvery = time.Minute
)

// Config is what an agent is told of its fleet.
type Config struct {
	Fleet     string // its name; peers of another are turned away
	Name      string // this agent's, unique in the fleet
	Zone      string
	Region    string
	Role      string
	Boot      uint64 // names this life of the process
	Bind      string // host:port, for UDP and TCP
	Advertise string // host:port where others reach it; empty: Bind
	Seeds     []string
}

// Peer is another agent, or this one.
type Peer struct {
	Name    string
	Zone    string
	Region  string
	Role    string
	Boot    uint64
	Version int
}

// meta is what travels with a member, as an array of msgpack.
type meta struct {
	Version int
	Fleet   string
	Zone    string
	Region  string
	Role    string
	Boot    uint64
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

// WhenFull implements task.Message.
func (Send) WhenFull() supervisor.Full { return supervisor.DropOldest }

// WhenFull implements task.Message: it is asked for again.
func (Sync) WhenFull() supervisor.Full { return supervisor.DropNewest }

// Merge implements task.Merger: the newest of a kind to a peer is enough.
func (s Send) Merge(queued supervisor.Message) (supervisor.Message, bool) {
	q, ok := queued.(Send)
	return s, ok && q.To == s.To && q.Kind == s.Kind
}

// Merge implements task.Merger.
func (s Sync) Merge(queued supervisor.Message) (supervisor.Message, bool) {
	q, ok := queued.(Sync)
	return s, ok && q == s
}

// Sink takes what peers bring; its methods must not block, and are called from the library's
// goroutines.
type Sink interface {
	// Got is a message; from whom it does not say.
	Got(kind Kind, body []byte)
	// State is handed to a peer over a stream, and Merge is what a peer hands over; both in the
	// form of Encode.
	State() []byte
	Merge(state []byte)
	// Members is who is there now, this agent included, by name.
	Members([]Peer)
}

// mailboxSize is for one letter to each peer of a site.
const mailboxSize = 512

// Peers is a task. Its mailbox takes Send and Sync.
type Peers struct {
	cfg   Config
	sink  Sink
	box   *supervisor.Mailbox
	taken *rate.Limiter

	mu     sync.Mutex // of what the library's goroutines touch:
	nodes  map[string]*memberlist.Node
	peers  map[string]Peer
	logged map[string]time.Time
}

// New returns the task; Run is its life.
func New(cfg Config, sink Sink) *Peers {
	return &Peers{cfg: cfg, sink: sink, box: supervisor.NewMailbox(mailboxSize), taken: rate.NewLimiter(takenPerS, takenBurst),
		nodes: map[string]*memberlist.Node{}, peers: map[string]Peer{}, logged: map[string]time.Time{}}
}

// Mailbox takes Send and Sync.
func (p *Peers) Mailbox() *supervisor.Mailbox { return p.box }

// Run joins the fleet and carries messages until ctx is done; then it leaves in order.
func (p *Peers) Run(ctx context.Context) error {
	conf, err := p.config()
	if err != nil {
		return err
	}
	p.mu.Lock()
	clear(p.nodes) // of an earlier life of the task
	clear(p.peers)
	p.mu.Unlock()
	m, err := memberlist.Create(conf)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer func() {
		if err := errors.Join(m.Leave(leaveWithin), m.Shutdown()); err != nil {
			slog.Warn("peers: not left in order", "err", err)
		}
	}()
	slog.Info("peers: listening", "fleet", p.cfg.Fleet, "addr", p.cfg.Bind)
	// A call to a peer that is cut off takes seconds: none is on this goroutine, and each is on
	// one of its own, as those that can be reached must not wait for it.
	calls := newCalls(m)
	defer calls.wait()
	join := time.NewTimer(0)
	defer join.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.box.Ready():
			for msg, ok := p.box.Poll(); ok; msg, ok = p.box.Poll() {
				switch msg := msg.(type) {
				case Send:
					p.send(m, msg)
				case Sync:
					if n := p.node(msg.With); n != nil {
						calls.join(n.Address())
					}
				}
			}
		case <-join.C:
			for _, seed := range p.missing(m) {
				calls.join(seed)
			}
			join.Reset(joinEvery/2 + rand.N(joinEvery))
		}
	}
}

// calls are the joins under way, one to an address at a time and at most maxCalls.
type calls struct {
	m     *memberlist.Memberlist
	all   sync.WaitGroup
	mu    sync.Mutex
	under map[string]bool
}

const maxCalls = 8

func newCalls(m *memberlist.Memberlist) *calls { return &calls{m: m, under: map[string]bool{}} }

func (c *calls) wait() { c.all.Wait() }

func (c *calls) join(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.under[addr] || len(c.under) >= maxCalls {
		return // it is asked for again
	}
	c.under[addr] = true
	c.all.Add(1)
	go func() {
		defer c.all.Done()
		_, _ = c.m.Join([]string{addr}) // tried again while it is missing, and logged by the library
		c.mu.Lock()
		delete(c.under, addr)
		c.mu.Unlock()
	}()
}

// missing are the seeds that are not there, in no order. A split heals by them from either
// side.
func (p *Peers) missing(m *memberlist.Memberlist) (out []string) {
	there := map[string]bool{p.advertise(): true}
	for _, n := range m.Members() {
		there[n.Address()] = true
	}
	for _, s := range p.cfg.Seeds {
		if !there[s] {
			out = append(out, s)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (p *Peers) advertise() string {
	if p.cfg.Advertise != "" {
		return p.cfg.Advertise
	}
	return p.cfg.Bind
}

func (p *Peers) send(m *memberlist.Memberlist, s Send) {
	node := p.node(s.To)
	if node == nil || len(s.Body) >= MaxMessage {
		return // it is not there; or nothing of the layer is so large
	}
	_ = m.SendBestEffort(node, append([]byte{byte(s.Kind)}, s.Body...)) // as best it can: whoever needs it says it again
}

// node is a peer as the library knows it; nil if it is not there.
func (p *Peers) node(name string) *memberlist.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodes[name]
}

func (p *Peers) config() (*memberlist.Config, error) {
	bind, err := address("bind", p.cfg.Bind)
	if err != nil {
		return nil, err
	}
	adv, err := address("advertise", p.advertise())
	if err != nil {
		return nil, err
	}
	logger := log.New(writer{}, "", 0)
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{bind.IP.String()}, BindPort: bind.Port, Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("peers: bind: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Logger = p.cfg.Name, logger
	c.Transport = &fromBind{NetTransport: transport, from: &net.TCPAddr{IP: bind.IP}}
	c.BindAddr, c.BindPort = bind.IP.String(), bind.Port
	c.AdvertiseAddr, c.AdvertisePort = adv.IP.String(), adv.Port
	c.TCPTimeout, c.PushPullInterval = 2*time.Second, 15*time.Second
	c.DeadNodeReclaimTime = time.Second // a restarted agent may come under another address
	c.EnableCompression = false         // messages are small
	d := &delegate{p}
	c.Delegate, c.Events, c.Alive, c.Merge = d, d, d, d
	return c, nil
}

func address(key, text string) (*net.TCPAddr, error) {
	host, port, err := net.SplitHostPort(text)
	n, bad := strconv.ParseUint(port, 10, 16)
	ip := net.ParseIP(host)
	if err != nil || bad != nil || n == 0 || ip == nil {
		return nil, fmt.Errorf("peers: %s: %q is no address and port", key, text)
	}
	return &net.TCPAddr{IP: ip, Port: int(n)}, nil
}

// fromBind makes streams come from the address that datagrams come from: on a machine with
// many addresses others know an agent by it.
type fromBind struct {
	*memberlist.NetTransport
	from *net.TCPAddr
}

func (t *fromBind) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *fromBind) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: t.from}
	return d.Dial("tcp", a.Addr)
}

// delegate is what the library calls.
type delegate struct{ p *Peers }

var handle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}()

// Encode is a value as an array of msgpack, the form of all messages.
func Encode(v any) ([]byte, error) {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle).Encode(v); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return out, nil
}

// Decode reads what Encode wrote; whatever else it is given is an error.
func Decode(body []byte, v any) error {
	if len(body) > MaxState {
		return fmt.Errorf("peers: a message of %d bytes, at most %d are taken", len(body), MaxState)
	}
	if err := codec.NewDecoderBytes(body, handle).Decode(v); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}

func (d *delegate) NodeMeta(limit int) []byte {
	c := &d.p.cfg
	text, err := Encode(meta{Version, c.Fleet, c.Zone, c.Region, c.Role, c.Boot})
	if err != nil || len(text) > limit {
		slog.Error("peers: zone, region and role are too long to be told", "bytes", len(text), "most", limit, "err", err)
		return nil
	}
	return text
}

func (d *delegate) NotifyMsg(body []byte) {
	if len(body) < 2 || len(body) > MaxMessage || !d.p.taken.Allow() {
		return
	}
	d.p.sink.Got(Kind(body[0]), slices.Clone(body[1:])) // the library uses its own again
}

func (*delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState is what a peer gets over a stream; more than it would take is not sent.
func (d *delegate) LocalState(bool) []byte {
	state := d.p.sink.State()
	if len(state) > MaxState {
		slog.Error("peers: state not handed over", "bytes", len(state), "most", MaxState)
		return nil
	}
	return state
}

// MergeRemoteState takes a peer's.
func (d *delegate) MergeRemoteState(state []byte, _ bool) {
	if len(state) > 0 && len(state) <= MaxState {
		d.p.sink.Merge(slices.Clone(state))
	}
}

// NotifyAlive turns away who is not of this fleet.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	_, err := d.p.check(n)
	if err != nil {
		d.p.turnedAway(n, err)
	}
	return err
}

// NotifyMerge turns away the whole state of another fleet.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if _, err := d.p.check(n); err != nil {
			d.p.turnedAway(n, err)
			return err
		}
	}
	return nil
}

// check tells whether a member may be of this fleet.
func (p *Peers) check(n *memberlist.Node) (Peer, error) {
	var m meta
	if err := Decode(n.Meta, &m); err != nil {
		return Peer{}, fmt.Errorf("its description can't be read: %w", err)
	}
	p.mu.Lock()
	_, known := p.peers[n.Name]
	count := len(p.peers)
	p.mu.Unlock()
	switch {
	case m.Fleet != p.cfg.Fleet:
		return Peer{}, fmt.Errorf("fleet: it is of %q, this is %q", m.Fleet, p.cfg.Fleet)
	case m.Version != Version:
		return Peer{}, fmt.Errorf("version: it speaks %d, this %d", m.Version, Version)
	case !known && count >= MaxMembers:
		return Peer{}, fmt.Errorf("members: %d are the most", MaxMembers)
	}
	return Peer{n.Name, m.Zone, m.Region, m.Role, m.Boot, m.Version}, nil
}

// turnedAway logs a refusal, seldom for each peer.
func (p *Peers) turnedAway(n *memberlist.Node, why error) {
	p.mu.Lock()
	now := time.Now()
	quiet := now.Sub(p.logged[n.Name]) < lineEvery && !p.logged[n.Name].IsZero()
	if !quiet {
		if len(p.logged) >= MaxMembers {
			clear(p.logged)
		}
		p.logged[n.Name] = now
	}
	p.mu.Unlock()
	if !quiet {
		slog.Warn("peers: turned away", "peer", n.Name, "addr", n.Address(), "why", why)
	}
}

func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.p.update(n) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.p.update(n) }

func (p *Peers) update(n *memberlist.Node) {
	peer, err := p.check(n)
	if err != nil {
		return // turned away before
	}
	node := *n
	p.mu.Lock()
	p.nodes[n.Name], p.peers[n.Name] = &node, peer
	p.mu.Unlock()
	p.tell()
}

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.p.mu.Lock()
	delete(d.p.nodes, n.Name)
	delete(d.p.peers, n.Name)
	d.p.mu.Unlock()
	d.p.tell()
}

func (p *Peers) tell() {
	p.mu.Lock()
	out := make([]Peer, 0, len(p.peers))
	for _, x := range p.peers {
		out = append(out, x)
	}
	p.mu.Unlock()
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	p.sink.Members(out)
}

// writer hands the library's log lines on, at the level that they name.
type writer struct{}

func (writer) Write(line []byte) (int, error) {
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
