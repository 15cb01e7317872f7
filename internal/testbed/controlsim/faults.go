package controlsim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// FaultKind is what a fault does.
type FaultKind string

// The kinds of faults.
const (
	Cut       FaultKind = "cut"        // from the machines of the core, and from the agents if Wide
	Kill      FaultKind = "kill"       // the process
	PowerLoss FaultKind = "power-loss" // the machine
	Terminate FaultKind = "terminate"  // SIGTERM to the process
	Freeze    FaultKind = "freeze"
	Wipe      FaultKind = "wipe"    // the process ends and comes back with an empty disk
	Replace   FaultKind = "replace" // the machine goes for good, an empty one comes at another address
	SlowDisk  FaultKind = "slow-disk"
	StallDisk FaultKind = "stall-disk"
	FullDisk  FaultKind = "full-disk"
	Reset     FaultKind = "reset"    // all connections of the machine, once
	Blackout  FaultKind = "blackout" // all machines of the core lose power
)

// Place names the machine that a fault hits, by the view at that moment.
type Place string

// The places.
const (
	Head   Place = "head"
	Middle Place = "middle"
	Tail   Place = "tail"
	Member Place = "member" // of the core, by Index
	Agent  Place = "agent"  // by Index
	Newest Place = "newest" // of the machines with a disk
)

// Fault is one fault of a plan.
type Fault struct {
	Kind  FaultKind
	Place Place
	Index int
	At    time.Duration
	For   time.Duration
	Out   bool // a cut loses what the machine sends
	In    bool // and what is sent to it
	Loud  bool // connections are refused and reset, not silent
	Wide  bool
	Peer  Place // a cut is between the machine and this one only; "": from all
	// On is a call of internal/fleet/controlplane: the fault waits from At on for one that arrives at the machine of
	// OnAt, and for Lag after it. It hits even where too many others are hit: it is short.
	On   string
	OnAt Place
	Lag  time.Duration
}

func (f Fault) String() string {
	s := fmt.Sprintf("%v %s of %s %d for %v", f.At, f.Kind, f.Place, f.Index, f.For)
	if f.Kind == Cut {
		s += fmt.Sprintf(" (out %v, in %v, loud %v, from agents %v)", f.Out, f.In, f.Loud, f.Wide)
	}
	if f.Peer != "" {
		s += fmt.Sprintf(" (only from %s)", f.Peer)
	}
	if f.On != "" {
		s += fmt.Sprintf(" (%v after a %s at the %s)", f.Lag, f.On, f.OnAt)
	}
	return s
}

// onWithin is how long a fault waits for the call that it is to follow.
const onWithin = 5 * time.Second

// awaitCall waits until a call that a fault is to follow has arrived at its machine.
func (r *run) awaitCall(ctx context.Context, f Fault) bool {
	at := r.at(r.view(), f.OnAt)
	if at == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, onWithin)
	defer cancel()
	arrived, forget := r.network.watch(at.host, f.On)
	defer forget()
	select {
	case <-arrived:
		pause(ctx, f.Lag)
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// play brings a fault about and ends it.
func (r *run) play(ctx context.Context, f Fault) {
	pause(ctx, f.At)
	m := r.place(f)
	if ctx.Err() != nil || m == nil {
		return
	}
	if f.On != "" && !r.awaitCall(ctx, f) {
		return
	}
	if f.Kind == Blackout {
		r.playBlackout(ctx, f)
		return
	}
	r.log("fault: %v: %s", f, m.name)
	defer r.trouble(m, f.Kind)()
	switch f.Kind {
	case Cut:
		c := &cut{machine: m, fault: f}
		if f.Peer != "" {
			if c.peer = r.at(r.view(), f.Peer); c.peer == nil || c.peer == m {
				return
			}
			defer r.trouble(c.peer, f.Kind)()
		}
		r.setCut(c, true)
		pause(ctx, f.For)
		r.setCut(c, false)
	case Kill, PowerLoss, Wipe, Terminate, Replace:
		r.playLoss(ctx, f, m)
	case Freeze:
		r.network.freeze(m.host)
		pause(ctx, f.For)
		r.network.thaw(m.host)
	case SlowDisk:
		m.media.setSlow(slowTimes)
		pause(ctx, f.For)
		m.media.setSlow(1)
	case StallDisk:
		m.media.setStalled(true)
		pause(ctx, f.For)
		m.media.setStalled(false)
	case FullDisk:
		m.media.setFull(true)
		pause(ctx, f.For)
		m.media.setFull(false)
	case Reset:
		for _, other := range r.all() {
			r.network.resetConns(m.host.addr, other.host.addr)
		}
	}
	r.log("fault ends: %s of %s", f.Kind, m.name)
}

// playBlackout has all machines of the core lose power, and come back one shortly after the other.
func (r *run) playBlackout(ctx context.Context, f Fault) {
	r.log("fault: %v", f)
	core := slices.DeleteFunc(r.members(), func(m *machine) bool { return m.running() == nil })
	for _, m := range core {
		defer r.trouble(m, f.Kind)()
		m.kill(true)
	}
	pause(ctx, f.For)
	for _, m := range core {
		if m.running() == nil && ctx.Err() == nil {
			m.start(ctx, false)
		}
		pause(ctx, f.Lag)
	}
	r.log("fault ends: %s", f.Kind)
}

// slowTimes is how much slower a slow disk is.
const slowTimes = 30

// playLoss ends a process and starts it, or what replaces it, again.
func (r *run) playLoss(ctx context.Context, f Fault, m *machine) {
	if f.Kind == Replace {
		r.noteReplaced(m)
	}
	if f.Kind == Terminate {
		m.terminate(ctx)
	} else {
		m.kill(f.Kind == PowerLoss || f.Kind == Replace)
	}
	pause(ctx, f.For)
	if ctx.Err() != nil {
		return
	}
	switch f.Kind {
	case Wipe:
		r.lostDisk()
		m.media.wipe()
	case Replace:
		r.lostDisk()
		m = r.addMachine(m.media != nil)
		defer r.trouble(m, f.Kind)()
	}
	if m.running() == nil {
		m.start(ctx, false)
	}
}

// place is the machine that a fault hits, nil if it has to leave it be.
func (r *run) place(f Fault) *machine {
	core, agents := r.members(), r.agents()
	m := r.at(r.view(), f.Place)
	switch {
	case f.Place == Newest:
		m = core[len(core)-1]
	case f.Place == Agent && len(agents) > 0:
		m = agents[f.Index%len(agents)]
	case f.Place == Agent || f.Place == Member:
		m = core[f.Index%len(core)]
	}
	if m == nil || f.On == "" && m.media != nil && !r.bearable(m, f.Place == Newest) {
		return nil
	}
	return m
}

// at is the machine of a place in a view's chain, nil if the place is none of those.
func (r *run) at(v view.View, place Place) *machine {
	last := len(v.Chain) - 1
	if last < 0 {
		return nil
	}
	switch place {
	case Head:
		return r.byAddr(v.Chain[0].Addr)
	case Middle:
		return r.byAddr(v.Chain[last/2].Addr)
	case Tail:
		return r.byAddr(v.Chain[last].Addr)
	}
	return nil
}

// cut is a cut that lasts.
type cut struct {
	machine *machine
	peer    *machine // nil: all others
	fault   Fault
}

// state is what a cut does to one direction.
func (c *cut) state(from, to *machine) linkState {
	if c.machine != from && c.machine != to || !c.fault.Wide && (from.media == nil || to.media == nil) {
		return linkOpen
	}
	if c.peer != nil && c.peer != from && c.peer != to {
		return linkOpen
	}
	if c.machine == from && !c.fault.Out || c.machine == to && !c.fault.In {
		return linkOpen
	}
	if c.fault.Loud {
		return linkRefuses
	}
	return linkSilent
}

// setCut begins or ends a cut and brings the links up to what all cuts make of them.
func (r *run) setCut(c *cut, on bool) {
	r.mu.Lock()
	if on {
		r.cuts[c] = true
	} else {
		delete(r.cuts, c)
	}
	cuts := make([]*cut, 0, len(r.cuts))
	for c := range r.cuts {
		cuts = append(cuts, c)
	}
	r.mu.Unlock()
	for _, other := range r.all() {
		for _, way := range [][2]*machine{{c.machine, other}, {other, c.machine}} {
			state := linkOpen
			for _, c := range cuts {
				state = max(state, c.state(way[0], way[1]))
			}
			r.network.setLink(way[0].host.addr, way[1].host.addr, state)
		}
	}
}

// describe names a view's chain.
func (r *run) describe(v view.View) string {
	s := fmt.Sprintf("%d voters, chain", len(v.Voters))
	for _, l := range v.Chain {
		if m := r.byAddr(l.Addr); m != nil {
			s += " " + m.name
		}
	}
	return s
}
