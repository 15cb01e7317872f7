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
	// attemptTimeout bounds a call by an operator.
	attemptTimeout = 950 * time.Millisecond
	// updateTimeout bounds the retries of an update.
	updateTimeout = 5 * time.Second
	// retryPause is the pause between two attempts of an operator or a model server.
	retryPause = 50 * time.Millisecond
	// maxLostResponses bounds the lost responses to an update.
	maxLostResponses = 2
)

// operator sends updates and reads, one at a time, to random processes.
type operator struct {
	sim         *simulation
	index       int
	random      *rand.Rand
	revision    int64      // newest known revision
	updateCount int        // number of updates so far
	api         *apiClient // nil if the operator calls the backend of the control API
}

// newOperator returns the operator with an index.
func newOperator(s *simulation, index int) *operator {
	o := &operator{sim: s, index: index, random: s.newRandom("operator", index)}
	if s.scenario.overHTTP {
		o.api = newAPIClient(s, "operator", index)
	}
	return o
}

// run makes updates and reads until ctx ends.
func (o *operator) run(ctx context.Context) {
	if o.api != nil {
		defer o.api.Close()
	}
	for ctx.Err() == nil {
		if o.random.Float64() < o.sim.scenario.readShare {
			o.read(ctx)
		} else {
			o.update(ctx)
		}
		interval := o.sim.scenario.updateInterval
		sleep(ctx, interval/2+time.Duration(o.random.Int64N(int64(interval))))
	}
}

// update makes one update and passes its outcome to the checker.
func (o *operator) update(ctx context.Context) {
	o.updateCount++
	input := updateInput{ifMatch: o.revision, revision: o.revision + 1,
		id: fmt.Sprintf("%d.%d", o.index, o.updateCount)}
	calledAt := o.sim.elapsed()
	output := o.submitUntilAnswered(ctx, input, calledAt)
	switch output.outcome {
	case chain.OutcomeCommitted:
		if output.revision != input.revision {
			o.sim.checker.reportViolation("operators", "update %s led to revision %d, not %d", input.id,
				output.revision, input.revision)
		}
		o.revision = output.revision
	case chain.OutcomeConflict:
		if output.revision == unknownRevision {
			defer o.read(ctx)
			break
		}
		o.revision = output.revision
	case chain.OutcomeInvalid:
		o.sim.checker.reportViolation("operators", "update %s is invalid", input.id)
		return
	}
	o.sim.checker.recordOperation(o.index, input, output, calledAt)
	o.sim.checker.updateCompleted(input, output, calledAt)
}

// submitUntilAnswered retries an update at other processes until its outcome is known or updateTimeout has passed.
func (o *operator) submitUntilAnswered(
	ctx context.Context, input updateInput, calledAt time.Duration,
) (output response) {
	body := encodeConfig(input, &o.sim.scenario)
	var p *process
	for attempt := 0; output.outcome == chain.OutcomeUnknown; attempt++ {
		if attempt > 0 {
			if o.sim.elapsed()-calledAt >= updateTimeout || ctx.Err() != nil {
				break
			}
			sleep(ctx, retryPause)
		}
		if p = o.sim.pickProcess(o.random, p); p == nil {
			continue
		}
		result := o.submit(ctx, p, &chain.Update{IfMatch: input.ifMatch, Body: body}, attempt < maxLostResponses)
		output = response{outcome: result.Outcome, revision: result.Revision}
		o.sim.logEvent("operator %d: update %s on %d at %s: %v %d %s", o.index, input.id, input.ifMatch, p.machine.name,
			result.Outcome, result.Revision, result.Reason)
	}
	return output
}

// submit makes one attempt at an update. With maybeLost the response may be lost after the update took effect.
func (o *operator) submit(ctx context.Context, p *process, update *chain.Update, maybeLost bool) (result chain.Result) {
	answered := true
	if o.api != nil {
		result = o.api.submit(ctx, p, update)
	} else {
		answered = externalCall(ctx, p, attemptTimeout, func(ctx context.Context) bool {
			result = p.core.Submit(ctx, update)
			return true
		})
	}
	switch {
	case !answered:
		return chain.Result{Reason: "no response"}
	case maybeLost && o.random.Float64() < o.sim.scenario.lostResponseShare:
		return chain.Result{Reason: "the response is lost"}
	}
	return result
}

// read reads the configuration once. A read without a response is not recorded, as it has no result to check.
func (o *operator) read(ctx context.Context) {
	p := o.sim.pickProcess(o.random, nil)
	if p == nil {
		return
	}
	calledAt := o.sim.elapsed()
	value, answered := o.readAt(ctx, p)
	if !answered {
		return
	}
	o.sim.logEvent("operator %d: reads revision %d at %s", o.index, value.Revision, p.machine.name)
	o.revision = value.Revision
	output := response{chain.OutcomeCommitted, value.Revision, updateID(value.Body)}
	o.sim.checker.recordOperation(o.index, readInput{}, output, calledAt)
}

// readAt reads the configuration from a process.
func (o *operator) readAt(ctx context.Context, p *process) (value chain.Value, answered bool) {
	if o.api != nil {
		return o.api.read(ctx, p)
	}
	answered = externalCall(ctx, p, attemptTimeout, func(ctx context.Context) bool {
		var err error
		value, err = p.core.Read(ctx)
		return err == nil
	})
	return value, answered
}

// configuration has the fields of a configuration that the simulation uses.
type configuration struct {
	Revision  int64    `json:"revision"`
	Services  []string `json:"services"`
	Routes    []string `json:"routes"`
	Operation string   `json:"operation"` // id of the update that set the configuration
	Padding   string   `json:"padding,omitempty"`
	Tenants   []tenant `json:"tenants,omitempty"`
}

// encodeConfig returns the configuration that an update sets, as JSON.
func encodeConfig(update updateInput, s *scenario) []byte {
	c := configuration{Revision: update.revision, Services: []string{}, Routes: []string{}, Operation: update.id,
		Padding: strings.Repeat("x", s.bodySize), Tenants: tenantsAt(s.tenantCount, update.revision)}
	raw, err := json.Marshal(&c)
	if err != nil {
		panic("controlsim: " + err.Error()) // impossible: plain fields
	}
	return raw
}

// updateID returns the id of the update that set a configuration; "" if the configuration is not from an operator of
// the simulation.
func updateID(raw []byte) string {
	var c configuration
	if json.Unmarshal(raw, &c) != nil {
		return ""
	}
	return c.Operation
}
