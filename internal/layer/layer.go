// Package layer puts the parts together by which agents act as one, and gives them to the
// agent as one thing. Without an operations file that names peers nothing of it runs.
//
// The parts are tasks: peers carries messages, the vote owns the evidence and the ballot. The
// agent's loop hands over what it saw and takes the standings; neither waits for the other.
package layer

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/ballot"
	"chalkdoor.example/chalkdoor/internal/evidence"
	"chalkdoor.example/chalkdoor/internal/peers"
	"chalkdoor.example/chalkdoor/internal/task"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// voteSize bounds what waits for the vote: a second of attempts of a busy agent, and a
	// letter of each member.
	voteSize = 1024
	// tickEvery is how often the vote decides anew.
	tickEvery = 50 * time.Millisecond
)

// Config is what the layer is told.
type Config struct {
	Peers peers.Config
	Vote  ballot.Config // Self and Boot are those of Peers
	Trace string        // file that the steps of the vote are added to; empty: none
	// Aims are the classes' aims, by which an answer is slow.
	Aims []time.Duration
}

// Layer runs the tasks of one agent. It implements agent.Layer.
type Layer struct {
	cfg   Config
	sup   *task.Supervisor
	peers *peers.Peers
	box   *task.Mailbox // of the vote
	trace *tracer
	start time.Time

	ready chan struct{}
	mu    sync.Mutex
	table []agent.Standing       // Left is the layer's time at which it ends
	tries map[evidence.Host]bool // asked for and not yet handed over: whether by a probe
}

// Start starts the tasks; they end with ctx, and Close waits for them. Only what makes no
// sense is an error: a task that can't do its work is tried again, and the agent serves.
func Start(ctx context.Context, cfg Config) (*Layer, error) {
	cfg.Vote.Self, cfg.Vote.Boot = cfg.Peers.Name, cfg.Peers.Boot
	if err := cfg.Vote.Validate(); err != nil {
		return nil, fmt.Errorf("layer: %w", err)
	}
	l := &Layer{cfg: cfg, box: task.NewMailbox(voteSize), start: time.Now(), ready: make(chan struct{}, 1), tries: map[evidence.Host]bool{}}
	if cfg.Trace != "" {
		var err error
		if l.trace, err = openTrace(cfg.Trace, cfg.Peers.Name, cfg.Peers.Boot); err != nil {
			return nil, fmt.Errorf("layer: trace: %w", err)
		}
	}
	l.peers = peers.New(cfg.Peers, sink{l})
	l.sup = task.NewSupervisor(ctx, nil)
	l.sup.Go("peers", l.peers.Run)
	l.sup.Go("vote", l.vote)
	return l, nil
}

// Close ends the tasks, each in order.
func (l *Layer) Close() {
	l.sup.Close()
	l.trace.close()
}

// now is the layer's clock: monotonic, since its start.
func (l *Layer) now() time.Duration { return time.Since(l.start) }

// ---- what the vote is told ----

type (
	sight   struct{ evidence.Sight }
	listed  struct{ hosts []evidence.Listed }
	letter  struct{ *ballot.Letter }
	members struct{ list []peers.Peer }
)

// A sight that finds no room goes: many more like it are queued.
func (sight) WhenFull() task.Full { return task.DropNewest }

// The list, who is there, and a peer's letter take the place of an older one, and of what
// else is queued.
func (listed) WhenFull() task.Full  { return task.DropOldest }
func (letter) WhenFull() task.Full  { return task.DropOldest }
func (members) WhenFull() task.Full { return task.DropOldest }

func (m listed) Merge(q task.Message) (task.Message, bool) {
	_, ok := q.(listed)
	return m, ok
}

func (m members) Merge(q task.Message) (task.Message, bool) {
	_, ok := q.(members)
	return m, ok
}

func (m letter) Merge(q task.Message) (task.Message, bool) {
	o, ok := q.(letter)
	if !ok || o.From != m.From {
		return m, false
	}
	if o.Boot == m.Boot && o.Sent > m.Sent {
		return o, true
	}
	return m, true
}

// Listed takes the whole list, from the agent's loop.
func (l *Layer) Listed(list []agent.Target) {
	hosts := make([]evidence.Listed, 0, len(list))
	for _, t := range list {
		if t.State == "up" {
			hosts = append(hosts, evidence.Listed{Host: evidence.Host{ID: t.ID, Incarnation: int64(t.StartedMs)}, Zone: t.Zone, Weight: max(t.Weight, 0)})
		}
	}
	l.box.Put(listed{hosts})
}

// Attempted takes the end of an attempt, from the agent's loop.
func (l *Layer) Attempted(s agent.Sight) {
	kind, ok := kindOf(s.Status)
	if s.Probe && kind == evidence.Failed {
		kind = evidence.Silent // no connect, or a reset: nothing of a request failed
	}
	if !ok || s.Class < 0 || s.Class >= len(l.cfg.Aims) {
		return
	}
	now := l.now()
	l.box.Put(sight{evidence.Sight{Host: evidence.Host{ID: s.ID, Incarnation: int64(s.StartedMs)}, Class: s.Class, Kind: kind,
		OfAim: s.Took.Seconds() / l.cfg.Aims[s.Class].Seconds(), Sent: now - s.Took, At: now, Probe: s.Probe}})
}

// kindOf is what an attempt's end says of its host; false if nothing.
func kindOf(s policy.Status) (evidence.Kind, bool) {
	switch s {
	case policy.OK:
		return evidence.Good, true
	case policy.Error, policy.Reset, policy.ConnectFailed:
		return evidence.Failed, true
	case policy.Timeout:
		return evidence.Silent, true
	case policy.Full:
		return evidence.Full, true
	}
	return 0, false
}

// sink takes what peers bring.
type sink struct{ l *Layer }

func (s sink) Got(body []byte) {
	var m ballot.Letter
	err := peers.Decode(body, &m)
	if err == nil {
		err = m.Check()
	}
	if err != nil {
		slog.Debug("vote: letter not believed", "err", err)
		return
	}
	s.l.box.Put(letter{&m})
}

func (s sink) Members(list []peers.Peer) { s.l.box.Put(members{list}) }

// ---- the vote ----

// vote is the task that owns the evidence and the ballot. Another life of it begins without
// either, as a process that starts again does.
func (l *Layer) vote(ctx context.Context) error {
	log := evidence.New(l.cfg.Vote.Age)
	cfg := l.cfg.Vote
	core, err := ballot.New(cfg, log)
	if err != nil {
		return err
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.box.Ready():
			for msg, ok := l.box.Poll(); ok; msg, ok = l.box.Poll() {
				switch m := msg.(type) {
				case sight:
					log.Saw(m.Sight)
				case listed:
					log.Listed(m.hosts)
				case letter:
					if err := core.Receive(l.now(), m.Letter); err != nil {
						slog.Debug("vote: letter not believed", "err", err)
					}
				case members:
					slog.Info("peers", "there", len(m.list))
				}
			}
		case <-tick.C:
			l.carryOut(core.Tick(l.now()))
		}
	}
}

// carryOut does what the core asks.
func (l *Layer) carryOut(out *ballot.Out) {
	for to, m := range out.Letters {
		body, err := peers.Encode(m)
		if err != nil {
			slog.Error("vote: letter not sent", "err", err)
			continue
		}
		l.peers.Mailbox().Put(peers.Send{To: to, Body: body})
	}
	for _, n := range out.Notes {
		level := slog.LevelDebug
		if n.Kind == "eject" || n.Kind == "return" {
			level = slog.LevelInfo
		}
		slog.Log(context.Background(), level, "vote: "+n.Kind, "host", n.Host.ID, "incarnation", n.Host.Incarnation, "why", n.Why.String(),
			"attempts", n.Attempts, "bad", n.Bad, "roll", n.Roll, "granters", len(n.Granters))
		l.trace.write(n, l.now())
	}
	if out.Changed {
		l.hand(out.Table)
	}
}

// hand makes a table the one that the loop takes next. One that it has not taken yet is
// replaced, but for the attempts that it asked for.
func (l *Layer) hand(table []ballot.Standing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table = l.table[:0:0]
	named := map[evidence.Host]bool{}
	for _, s := range table {
		named[s.Host] = true
		if s.Try || s.Probe {
			l.tries[s.Host] = s.Probe
		}
		probe, asked := l.tries[s.Host]
		l.table = append(l.table, agent.Standing{ID: s.Host.ID, StartedMs: float64(s.Host.Incarnation), Part: s.Part,
			Left: s.Until, Try: asked && !probe, Probe: asked && probe})
	}
	for h, probe := range l.tries {
		if !named[h] {
			l.table = append(l.table, agent.Standing{ID: h.ID, StartedMs: float64(h.Incarnation), Part: 1, Try: !probe, Probe: probe})
		}
	}
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// Ready receives when there are new standings.
func (l *Layer) Ready() <-chan struct{} { return l.ready }

// Standings are the newest, whole; those asked for a try are so once. What is left of each is
// counted as of now: the process may have been paused since they were handed over.
func (l *Layer) Standings() []agent.Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.tries)
	out, now := slices.Clone(l.table), l.now()
	for i := range out {
		out[i].Left = max(out[i].Left-now, 0)
	}
	return out
}

// ---- the trace ----

// Line is a step of the vote in a trace: a line of JSON. Times are of the day, in Unix ms, to
// set the traces of agents beside each other; nothing is decided by them.
type Line struct {
	AtMs        int64    `json:"at_ms"`
	Agent       string   `json:"agent"`
	Boot        uint64   `json:"boot"`
	Kind        string   `json:"kind"`
	Host        string   `json:"host"`
	Incarnation int64    `json:"incarnation"`
	Why         string   `json:"why"`
	Roll        uint64   `json:"roll"`
	Attempts    int      `json:"attempts"`
	Bad         int      `json:"bad"`
	Granters    []string `json:"granters,omitempty"`
	LeftMs      int64    `json:"left_ms,omitempty"`
}

// tracer writes a trace; a nil one writes none. The vote alone uses it.
type tracer struct {
	file  *os.File
	out   *bufio.Writer
	agent string
	boot  uint64
}

func openTrace(path, name string, boot uint64) (*tracer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &tracer{f, bufio.NewWriter(f), name, boot}, nil
}

func (t *tracer) write(n ballot.Note, now time.Duration) {
	if t == nil {
		return
	}
	text, err := json.Marshal(Line{AtMs: time.Now().Add(n.At - now).UnixMilli(), Agent: t.agent, Boot: t.boot, Kind: n.Kind, Host: n.Host.ID,
		Incarnation: n.Host.Incarnation, Why: n.Why.String(), Roll: n.Roll, Attempts: n.Attempts, Bad: n.Bad, Granters: n.Granters,
		LeftMs: max(n.Until-n.At, 0).Milliseconds()})
	if err == nil {
		_, err = t.out.Write(append(text, '\n'))
	}
	if err == nil {
		err = t.out.Flush()
	}
	if err != nil {
		slog.Warn("vote: trace not written", "err", err)
	}
}

func (t *tracer) close() {
	if t != nil {
		t.file.Close()
	}
}
