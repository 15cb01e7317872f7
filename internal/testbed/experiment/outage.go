package experiment

import (
	"context"

	"chalkdoor.example/chalkdoor/internal/testbed/process"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

// beginOutages records that agents are being killed. Until an agent is ready again, requests that are sent to it
// need no answer: clients may still write to its old connections.
func (w *world) beginOutages(killed []*agent) {
	from := w.log.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range killed {
		w.outages[a] = from
	}
}

// awaitReturn ends the outage of an agent when its new process is ready. A process that fails to become ready
// is recorded as a crash unless it was expected to end.
func (w *world) awaitReturn(ctx context.Context, a *agent, started *process.Proc) {
	if err := w.awaitReady(ctx, a); err != nil && ctx.Err() == nil && !w.exitExpected(started) {
		w.recordCrash(err.Error())
	}
	w.endOutage(a)
}

// endOutage logs an agent's outage for the referee, if there is one, and ends it.
func (w *world) endOutage(a *agent) {
	w.mu.Lock()
	from, found := w.outages[a]
	delete(w.outages, a)
	w.mu.Unlock()
	if found {
		w.log.Add(referee.Event{At: from, Kind: referee.Killed, Agent: a.name, Deadline: w.log.Now()})
	}
}

// endOutages ends the outages that last until the end of the play.
func (w *world) endOutages() {
	for _, a := range w.agents {
		w.endOutage(a)
	}
}

// isDown reports whether an agent was killed and is not ready again yet.
func (w *world) isDown(a *agent) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, found := w.outages[a]
	return found
}

// exitExpected reports whether a process was ended on purpose.
func (w *world) exitExpected(p *process.Proc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expectedExits[p]
}
