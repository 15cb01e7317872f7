package controlsim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

const (
	// clientDelay is how long a call of an operator or a server takes to a machine, one way.
	clientDelay = 3 * time.Millisecond
	// attemptTimeout bounds one call of an operator, as a client's time-out.
	attemptTimeout = 950 * time.Millisecond
	// updateTimeout is how long an operator repeats an order without an answer.
	updateTimeout = 5 * time.Second
	retryPause    = 50 * time.Millisecond
	// maxLostResponses bounds how many answers to one order are lost.
	maxLostResponses = 2
)

// operator sends orders and reads, one at a time, to machines in turn.
type operator struct {
	sim         *simulation
	index       int
	random      *rand.Rand
	revision    int64 // revision
	updateCount int
}

// run goes on until ctx ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		if o.random.Float64() < o.sim.scenario.readShare {
			o.read(ctx)
		} else {
			o.update(ctx)
		}
		wait := o.sim.scenario.updateInterval
		sleep(ctx, wait/2+time.Duration(o.random.Int64N(int64(wait))))
	}
}

// update sends one order, and again elsewhere while it has no answer.
func (o *operator) update(ctx context.Context) {
	o.updateCount++
	in := updateInput{ifMatch: o.revision, revision: o.revision + 1, id: fmt.Sprintf("%d.%d", o.index, o.updateCount)}
	body := encodeConfig(in, o.sim.scenario.bodySize)
	called := o.sim.elapsed()
	out := response{}
	var p *process
	for tries := 0; out.outcome == chain.OutcomeUnknown && (tries == 0 || o.sim.elapsed()-called < updateTimeout && ctx.Err() == nil); tries++ {
		if tries > 0 {
			sleep(ctx, retryPause)
		}
		if p = o.sim.pickProcess(o.random, p); p == nil {
			continue
		}
		v := o.submit(ctx, p, &chain.Update{IfMatch: in.ifMatch, Body: body}, tries < maxLostResponses)
		out = response{outcome: v.Outcome, revision: v.Revision}
		o.sim.logEvent("operator %d: order %s on %d at %s: %v %d %s", o.index, in.id, in.ifMatch, p.machine.name, v.Outcome, v.Revision, v.Reason)
	}
	switch out.outcome {
	case chain.OutcomeCommitted:
		if out.revision != in.revision {
			o.sim.checker.reportViolation("operators", "order %s led to revision %d, not %d", in.id, out.revision, in.revision)
		}
		o.revision = out.revision
	case chain.OutcomeConflict:
		o.revision = out.revision
	case chain.OutcomeInvalid:
		o.sim.checker.reportViolation("operators", "order %s is invalid", in.id)
		return
	}
	o.sim.checker.recordOperation(o.index, in, out, called)
	o.sim.checker.updateCompleted(in, out, called)
}

// submit makes one call; the answer may be lost on the way.
func (o *operator) submit(ctx context.Context, p *process, order *chain.Update, maybeLost bool) (v chain.Result) {
	answered := externalCall(ctx, p, attemptTimeout, func(ctx context.Context) bool {
		v = p.core.Submit(ctx, order)
		return true
	})
	switch {
	case !answered:
		return chain.Result{Reason: "no answer"}
	case maybeLost && o.random.Float64() < o.sim.scenario.lostResponseShare:
		return chain.Result{Reason: "the answer is lost"}
	}
	return v
}

// read reads the configuration once; no answer promises nothing.
func (o *operator) read(ctx context.Context) {
	p := o.sim.pickProcess(o.random, nil)
	if p == nil {
		return
	}
	called := o.sim.elapsed()
	var v chain.Value
	answered := externalCall(ctx, p, attemptTimeout, func(ctx context.Context) (ok bool) {
		var err error
		v, err = p.core.Read(ctx)
		return err == nil
	})
	if !answered {
		return
	}
	o.sim.logEvent("operator %d: reads revision %d at %s", o.index, v.Revision, p.machine.name)
	o.revision = v.Revision
	o.sim.checker.recordOperation(o.index, readInput{}, response{chain.OutcomeCommitted, v.Revision, operationID(v.Body)}, called)
}

// configuration is the little of a configuration that runs need.
type configuration struct {
	Revision  int64    `json:"revision"`
	Services  []string `json:"services"`
	Routes    []string `json:"routes"`
	Operation string   `json:"operation"` // who made it
	Padding   string   `json:"padding,omitempty"`
}

func encodeConfig(in updateInput, size int) []byte {
	c := configuration{Revision: in.revision, Services: []string{}, Routes: []string{}, Operation: in.id, Padding: strings.Repeat("x", size)}
	raw, err := json.Marshal(&c)
	if err != nil {
		panic("controlsim: " + err.Error()) // plain fields
	}
	return raw
}

// operationID tells which order made a configuration.
func operationID(raw []byte) string {
	var c configuration
	if json.Unmarshal(raw, &c) != nil {
		return ""
	}
	return c.Operation
}
