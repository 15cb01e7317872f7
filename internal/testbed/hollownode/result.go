package hollownode

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

// Result is what was measured. Rates are of the window.
type Result struct {
	Config   Config         `json:"config"`
	Window   time.Duration  `json:"window"`
	Document int            `json:"configuration-bytes"` // of the first one
	Start    Delays         `json:"start"`               // of nodes, until they could serve
	Known    Delays         `json:"known"`               // of nodes, until they knew all servers
	Acks     Delays         `json:"acks"`                // of changes, from sent to acknowledged
	InForce  Delays         `json:"in-force"`            // of changes, from acknowledged to in force at the last node
	Drains   Delays         `json:"drains"`              // of drains, from acknowledged to out of the last node's list
	Returns  Delays         `json:"returns"`             // of agents that came back, until they could serve
	Agent    Role           `json:"agent"`               // one of them
	Core     []Member       `json:"core"`
	Daemons  []DaemonReport `json:"daemons"`
	Begin    Begin          `json:"begin"`
	Beats    float64        `json:"beats-a-second"`
	Lapsed   int            `json:"lapsed"` // lives whose lease lapsed though they ran
	Calls    Traffic        `json:"calls"`  // of all nodes, by call
	Lost     *Loss          `json:"lost,omitempty"`
	Troubles []string       `json:"troubles,omitempty"`
}

// Delays tells of so many times.
type Delays struct {
	N       int           `json:"n"`
	P50     time.Duration `json:"p50"`
	Max     time.Duration `json:"max"`
	Missing int           `json:"missing"` // that never came, at some node
}

// Begin is what the start of all at once took, until all knew all servers.
type Begin struct {
	AgentCPU  time.Duration `json:"agent-cpu"`  // processor time of one agent
	CoreCPU   time.Duration `json:"core-cpu"`   // of one machine of the core
	Messages  float64       `json:"messages"`   // said and heard by one agent
	Bytes     float64       `json:"bytes"`      // the same
	DaemonCPU time.Duration `json:"daemon-cpu"` // of one real daemon, to 10 ms
}

// Role is what one process of a role did and took.
type Role struct {
	Messages float64 `json:"messages-a-second"` // said and heard
	Bytes    float64 `json:"bytes-a-second"`
	CPU      float64 `json:"cpu"` // of a core; 0: not told apart
	Heap     int64   `json:"heap"`
	Stacks   int64   `json:"stacks"`
	RSS      int64   `json:"rss"` // of its process, or its part of it
	Peak     int64   `json:"rss-peak"`
	FDs      int     `json:"descriptors"`
}

// Member is a machine of the core.
type Member struct {
	Role
	Name     string  `json:"name"`
	Place    string  `json:"place"` // in the chain
	Sessions int     `json:"sessions"`
	Agents   float64 `json:"agents-bytes-a-second"` // of Bytes, with agents
	Peers    float64 `json:"peers-bytes-a-second"`  // with other machines of the core
	Goes     int     `json:"goroutines"`
}

// Loss is the member of the core that was lost.
type Loss struct {
	Name  string        `json:"name"`
	Place string        `json:"place"`
	At    time.Duration `json:"at"` // steady clock
	Back  time.Duration `json:"back"`
	// Of the changes and drains that were under way or sent between both.
	Acks    Delays `json:"acks"`
	InForce Delays `json:"in-force"`
	Drains  Delays `json:"drains"`
}

func delays(of []time.Duration) Delays {
	if len(of) == 0 {
		return Delays{}
	}
	slices.Sort(of)
	return Delays{N: len(of), P50: of[len(of)/2], Max: of[len(of)-1]}
}

// agentCalls are the calls by which agents talk to the core; only core machines are called.
var agentCalls = []string{session + fromAgent, "core.view", "core.order", "core.read"}

const pushCall = "core.push"

// collect reads what all hosts measured.
func (f *fleet) collect(ctx context.Context, took time.Duration, changes []Change) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callWithin)
	defer cancel()
	r := &Result{Config: f.cfg, Window: took, Document: len(sampling.Config(1, f.cfg.Size)), Calls: Traffic{}, Lost: f.lost, Troubles: f.troubles}
	for _, d := range f.daemons { // before the others' collections
		r.Daemons = append(r.Daemons, d.report(ctx))
	}
	hosts := f.hosts()
	reports := make([]*HostReport, len(hosts))
	q := &Request{Do: doReport, Changes: changes, Drains: f.drains}
	if err := ask(ctx, hosts, q, func(i int, a *Reply) { reports[i] = a.Report }); err != nil {
		return nil, err
	}
	cores, agents := reports[:len(f.cores)], reports[len(f.cores):]
	f.times(r, reports, changes)
	seconds, before := took.Seconds(), Traffic{}
	for _, h := range reports {
		r.Beats += float64(h.Beats) / seconds
		for _, n := range h.Nodes {
			r.Calls.add(n.Traffic)
			before.add(n.Before)
			r.Lapsed += n.Renamed
		}
	}
	var talk, first Count
	for _, call := range agentCalls {
		talk, first = talk.plus(r.Calls[call]), first.plus(before[call])
	}
	all, hollow := float64(f.cfg.Agents+len(f.daemons)), float64(f.cfg.Agents)
	r.Agent = Role{Messages: float64(talk.Messages()) / seconds / all, Bytes: float64(talk.Bytes()) / seconds / all}
	own := f.cfg.Hosts > 0 // processes
	for _, h := range agents {
		p := h.Process
		r.Agent.Heap += p.Heap
		r.Agent.Stacks += p.Stacks
		r.Agent.RSS += p.RSS
		r.Agent.Peak += p.Peak
		r.Agent.FDs += p.FDs
		if own {
			r.Agent.CPU += p.CPU.Seconds() / seconds / hollow
			r.Begin.AgentCPU += p.Start / time.Duration(f.cfg.Agents)
		}
	}
	r.Begin.Messages, r.Begin.Bytes = float64(first.Messages())/all, float64(first.Bytes())/all
	for _, h := range cores {
		if own {
			r.Begin.CoreCPU += h.Process.Start / time.Duration(len(cores))
		}
	}
	for _, d := range f.daemons {
		r.Begin.DaemonCPU += d.cpu / time.Duration(len(f.daemons))
	}
	part := func(n *int64) { *n /= int64(f.cfg.Agents) }
	part(&r.Agent.Heap)
	part(&r.Agent.Stacks)
	part(&r.Agent.RSS)
	part(&r.Agent.Peak)
	r.Agent.FDs /= f.cfg.Agents
	r.Core = f.members(cores, seconds, own)
	return r, nil
}

// times are those of the start, of changes and of drains.
func (f *fleet) times(r *Result, reports []*HostReport, changes []Change) {
	var start, known, returns []time.Duration
	for _, h := range reports {
		for _, n := range h.Nodes {
			for j, ready := range n.Ready {
				switch {
				case ready == 0:
				case j == 0 && (f.lost == nil || n.Name != f.lost.Name):
					start = append(start, ready)
				case j > 0:
					returns = append(returns, ready)
				}
			}
			if n.Full > 0 && (f.lost == nil || n.Name != f.lost.Name) {
				known = append(known, n.Full)
			}
		}
	}
	r.Start, r.Known, r.Returns = delays(start), delays(known), delays(returns)
	hurt := func(c Change) bool { return f.lost != nil && c.Acked > f.lost.At && c.Sent < f.lost.Back }
	spread := func(of []Change, pick func(*HostReport) []Spread) (all, hit Delays) {
		var last, lastHit []time.Duration
		missing, missingHit := 0, 0
		for i, c := range of {
			var s Spread
			for _, h := range reports {
				s = s.with(pick(h)[i])
			}
			missing += s.Missing
			if s.Nodes > s.Missing {
				last = append(last, max(s.Last-c.Acked, 0))
			}
			if hurt(c) {
				missingHit += s.Missing
				lastHit = append(lastHit, max(s.Last-c.Acked, 0))
			}
		}
		all, hit = delays(last), delays(lastHit)
		all.Missing, hit.Missing = missing, missingHit
		return all, hit
	}
	var acks, acksHit []time.Duration
	for _, c := range changes {
		acks = append(acks, c.Acked-c.Sent)
		if hurt(c) {
			acksHit = append(acksHit, c.Acked-c.Sent)
		}
	}
	var force, drains Delays
	r.Acks = delays(acks)
	r.InForce, force = spread(changes, func(h *HostReport) []Spread { return h.Changes })
	r.Drains, drains = spread(f.drains, func(h *HostReport) []Spread { return h.Drains })
	if f.lost != nil {
		f.lost.Acks, f.lost.InForce, f.lost.Drains = delays(acksHit), force, drains
	}
}

// members are the machines of the core. Only who is called counts a call: a push is said by the
// member before in the chain, and of the other calls among the core each member is taken to say
// its even share.
func (f *fleet) members(cores []*HostReport, seconds float64, own bool) (all []Member) {
	pushed := map[int]Count{} // by place
	var others Count          // of calls among the core
	with := make([]Count, len(cores))
	for i, h := range cores {
		n := h.Nodes[0]
		for call, c := range n.Traffic {
			switch {
			case slices.Contains(agentCalls, call):
				with[i] = with[i].plus(c)
			case call == pushCall:
				pushed[n.Place] = c
			default:
				others = others.plus(c)
			}
		}
	}
	for i, h := range cores {
		n, p := h.Nodes[0], h.Process
		m := Member{Name: n.Name, Place: place(n), Sessions: n.Sessions, Goes: p.Goroutines}
		share := 2 / float64(len(cores))
		push := pushed[n.Place].plus(pushed[n.Place+1])
		m.Agents = float64(with[i].Bytes()) / seconds
		m.Peers = (share*float64(others.Bytes()) + float64(push.Bytes())) / seconds
		m.Bytes = m.Agents + m.Peers
		m.Messages = (float64(with[i].Messages()+push.Messages()) + share*float64(others.Messages())) / seconds
		m.Heap, m.Stacks, m.RSS, m.Peak, m.FDs = p.Heap, p.Stacks, p.RSS, p.Peak, p.FDs
		if own {
			m.CPU = p.CPU.Seconds() / seconds
		}
		all = append(all, m)
	}
	return all
}

func place(n NodeReport) string {
	switch {
	case n.Place < 0:
		return "not in the chain"
	case n.Place == 0:
		return LoseHead
	case n.Place == n.Chain-1:
		return LoseTail
	}
	return fmt.Sprintf("%s %d", LoseMiddle, n.Place)
}

// Write prints the result for people.
func (r *Result) Write(out io.Writer) error {
	c := &r.Config
	var b strings.Builder
	fmt.Fprintf(&b, "%d hollow agents and %d real ones, %d of the core, %d servers; configuration of %.1f KB; window %.1f s\n",
		c.Agents, c.Real, c.Core, c.Servers, float64(r.Document)/1e3, r.Window.Seconds())
	w := tabwriter.NewWriter(&b, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "\ntimes, ms\tn\tp50\tmax\tmissing")
	for _, d := range []struct {
		name string
		Delays
	}{{"start until it could serve", r.Start}, {"start until all servers were known", r.Known}, {"change sent until acknowledged", r.Acks},
		{"change acknowledged until in force at all", r.InForce}, {"drain acknowledged until known to all", r.Drains}, {"agent back until it could serve", r.Returns}} {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\n", d.name, d.N, ms(d.P50), ms(d.Max), d.Missing)
	}
	if l := r.Lost; l != nil {
		for _, d := range []struct {
			name string
			Delays
		}{{"acknowledged", l.Acks}, {"in force at all", l.InForce}, {"drain known to all", l.Drains}} {
			fmt.Fprintf(w, "%s (%s) lost: %s\t%d\t%s\t%s\t%d\n", l.Name, l.Place, d.name, d.N, ms(d.P50), ms(d.Max), d.Missing)
		}
	}
	fmt.Fprintln(w, "\nstart of all at once, for one\tprocessor ms\tmessages\tKB")
	fmt.Fprintf(w, "hollow agent\t%s\t%.0f\t%.1f\n", ms(r.Begin.AgentCPU), r.Begin.Messages, r.Begin.Bytes/1e3)
	fmt.Fprintf(w, "machine of the core\t%s\n", ms(r.Begin.CoreCPU))
	if len(r.Daemons) > 0 {
		fmt.Fprintf(w, "real daemon\t%s\n", ms(r.Begin.DaemonCPU))
	}
	fmt.Fprintf(w, "leases that lapsed though their agents ran\t%d\n", r.Lapsed)
	fmt.Fprintln(w, "\nprocess\tmessages/s\tbytes/s\tcore %\theap KB\tstacks KB\tRSS MB\tpeak MB\tdescriptors\tsessions\tbytes/s agents\tbytes/s core")
	row := func(name string, p Role, more string) {
		fmt.Fprintf(w, "%s\t%.1f\t%.0f\t%.2f\t%.0f\t%.0f\t%.1f\t%.1f\t%d\t%s\n", name, p.Messages, p.Bytes, 100*p.CPU, float64(p.Heap)/1e3, float64(p.Stacks)/1e3,
			float64(p.RSS)/1e6, float64(p.Peak)/1e6, p.FDs, more)
	}
	row("one hollow agent", r.Agent, "")
	for _, m := range r.Core {
		row(m.Name+", "+m.Place, m.Role, fmt.Sprintf("%d\t%.0f\t%.0f", m.Sessions, m.Agents, m.Peers))
	}
	for _, d := range r.Daemons {
		fmt.Fprintf(w, "%s, real\t\t\t%.2f\t\t\t%.1f\t%.1f\t\tready after %s ms, configuration %d\n", d.Name, 100*d.CPU.Seconds()/r.Window.Seconds(),
			float64(d.RSS)/1e6, float64(d.Peak)/1e6, ms(d.Ready), d.Seq)
	}
	fmt.Fprintln(w, "\ncall\tcalls/s\tmessages/s\tbytes/s\tbytes a message")
	var calls []string
	for call := range r.Calls {
		calls = append(calls, call)
	}
	slices.Sort(calls)
	for _, call := range calls {
		n, s := r.Calls[call], r.Window.Seconds()
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.0f\t%.0f\n", call, float64(n.Calls)/s, float64(n.Messages())/s, float64(n.Bytes())/s,
			float64(n.Bytes())/float64(max(n.Messages(), 1)))
	}
	fmt.Fprintf(w, "beats of servers (in process)\t%.1f\n", r.Beats)
	if err := w.Flush(); err != nil {
		return err
	}
	for _, t := range r.Troubles {
		fmt.Fprintf(&b, "trouble: %s\n", t)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
