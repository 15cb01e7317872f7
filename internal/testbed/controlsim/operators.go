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
	// callerDelay is how long a call of an operator or a server takes to a machine, one way.
	callerDelay = 3 * time.Millisecond
	// attemptWait bounds one call of an operator, as a client's time-out.
	attemptWait = 950 * time.Millisecond
	// orderPatience is how long an operator repeats an order without an answer.
	orderPatience = 5 * time.Second
	repeatPause   = 50 * time.Millisecond
	// loseAtMost bounds how many answers to one order are lost.
	loseAtMost = 2
)

// operator sends orders and reads, one at a time, to machines in turn.
type operator struct {
	run    *run
	index  int
	random *rand.Rand
	knows  int64 // revision
	made   int
}

// work goes on until ctx ends.
func (o *operator) work(ctx context.Context) {
	for ctx.Err() == nil {
		if o.random.Float64() < o.run.setup.readShare {
			o.read(ctx)
		} else {
			o.order(ctx)
		}
		wait := o.run.setup.orderEvery
		pause(ctx, wait/2+time.Duration(o.random.Int64N(int64(wait))))
	}
}

// order sends one order, and again elsewhere while it has no answer.
func (o *operator) order(ctx context.Context) {
	o.made++
	in := orderInput{ifMatch: o.knows, revision: o.knows + 1, id: fmt.Sprintf("%d.%d", o.index, o.made)}
	body := configBody(in, o.run.setup.bodySize)
	called := o.run.now()
	out := answer{}
	var p *process
	for tries := 0; out.kind == chain.OutcomeUnknown && (tries == 0 || o.run.now()-called < orderPatience && ctx.Err() == nil); tries++ {
		if tries > 0 {
			pause(ctx, repeatPause)
		}
		if p = o.run.pick(o.random, p); p == nil {
			continue
		}
		v := o.submit(ctx, p, &chain.Update{IfMatch: in.ifMatch, Body: body}, tries < loseAtMost)
		out = answer{kind: v.Outcome, revision: v.Revision}
		o.run.log("operator %d: order %s on %d at %s: %v %d %s", o.index, in.id, in.ifMatch, p.machine.name, v.Outcome, v.Revision, v.Reason)
	}
	switch out.kind {
	case chain.OutcomeCommitted:
		if out.revision != in.revision {
			o.run.referee.violate("operators", "order %s led to revision %d, not %d", in.id, out.revision, in.revision)
		}
		o.knows = out.revision
	case chain.OutcomeConflict:
		o.knows = out.revision
	case chain.OutcomeInvalid:
		o.run.referee.violate("operators", "order %s is invalid", in.id)
		return
	}
	o.run.referee.record(o.index, in, out, called)
	o.run.referee.answered(in, out, called)
}

// submit makes one call; the answer may be lost on the way.
func (o *operator) submit(ctx context.Context, p *process, order *chain.Update, maybeLost bool) (v chain.Result) {
	answered := exchange(ctx, p, attemptWait, func(ctx context.Context) bool {
		v = p.core.Submit(ctx, order)
		return true
	})
	switch {
	case !answered:
		return chain.Result{Reason: "no answer"}
	case maybeLost && o.random.Float64() < o.run.setup.lostAnswers:
		return chain.Result{Reason: "the answer is lost"}
	}
	return v
}

// read reads the configuration once; no answer promises nothing.
func (o *operator) read(ctx context.Context) {
	p := o.run.pick(o.random, nil)
	if p == nil {
		return
	}
	called := o.run.now()
	var v chain.Value
	answered := exchange(ctx, p, attemptWait, func(ctx context.Context) (ok bool) {
		var err error
		v, err = p.core.Read(ctx)
		return err == nil
	})
	if !answered {
		return
	}
	o.run.log("operator %d: reads revision %d at %s", o.index, v.Revision, p.machine.name)
	o.knows = v.Revision
	o.run.referee.record(o.index, readInput{}, answer{chain.OutcomeCommitted, v.Revision, operationOf(v.Body)}, called)
}

// configuration is the little of a configuration that runs need.
type configuration struct {
	Revision  int64    `json:"revision"`
	Services  []string `json:"services"`
	Routes    []string `json:"routes"`
	Operation string   `json:"operation"` // who made it
	Padding   string   `json:"padding,omitempty"`
}

func configBody(in orderInput, size int) []byte {
	c := configuration{Revision: in.revision, Services: []string{}, Routes: []string{}, Operation: in.id, Padding: strings.Repeat("x", size)}
	raw, err := json.Marshal(&c)
	if err != nil {
		panic("controlsim: " + err.Error()) // plain fields
	}
	return raw
}

// operationOf tells which order made a configuration.
func operationOf(raw []byte) string {
	var c configuration
	if json.Unmarshal(raw, &c) != nil {
		return ""
	}
	return c.Operation
}
