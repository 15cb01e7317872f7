package experiment

import (
	"context"

	"chalkdoor.example/chalkdoor/internal/testbed/process"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

// beginOutages notes that agents are being killed. Until each is back, what it is sent is owed nothing: its old
// connections may still be written to.
func (w *world) beginOutages(killed []*agent) {
	from := w.log.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range killed {
		w.outages[a] = from
	}
}

// awaitReturn ends the outage of an agent once its new process is ready. A process that ends before, and was
// not meant to, is a crash.
func (w *world) awaitReturn(ctx context.Context, a *agent, started *process.Proc) {
	if err := w.awaitReady(ctx, a); err != nil && ctx.Err() == nil && !w.isMeant(started) {
		w.died(err.Error())
	}
	w.endOutage(a)
}

// endOutage tells the referee of an outage that is over.
func (w *world) endOutage(a *agent) {
	w.mu.Lock()
	from, found := w.outages[a]
	delete(w.outages, a)
	w.mu.Unlock()
	if found {
		w.log.Add(referee.Event{At: from, Kind: referee.Killed, Agent: a.name, Deadline: w.log.Now()})
	}
}

// endOutages ends those that last until the end of the play.
func (w *world) endOutages() {
	for _, a := range w.agents {
		w.endOutage(a)
	}
}

// isDown reports whether an agent was killed and is not back yet.
func (w *world) isDown(a *agent) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, found := w.outages[a]
	return found
}

// isMeant reports whether a process was to end.
func (w *world) isMeant(p *process.Proc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.meant[p]
}
