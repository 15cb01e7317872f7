package hollownode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

// measureWindow runs the workload for the window, waits until all changes and drains have reached all nodes, and
// collects the result.
func (f *fleet) measureWindow(ctx context.Context) (*Result, error) {
	first := len(f.changes)
	if err := f.askAll(ctx, &Request{Do: doBeginWindow}); err != nil {
		return nil, err
	}
	for _, d := range f.daemons {
		d.beginWindow()
	}
	began := now()
	window, cancel := context.WithTimeout(ctx, f.cfg.Window)
	defer cancel()
	var wg sync.WaitGroup
	f.runPeriodically(window, &wg, f.cfg.Changes, func(int) error {
		return f.submit(ctx, true, sampling.Change(f.revision+1, f.cfg.Size))
	})
	f.runPeriodically(window, &wg, f.cfg.Drains, func(i int) error { return f.drain(ctx, i%f.cfg.Servers) })
	f.runPeriodically(window, &wg, f.cfg.Churn, func(i int) error { return f.restartAgent(ctx, i) })
	if f.cfg.Lose != LoseNone {
		wg.Go(func() { f.recordError(f.loseMember(window)) })
	}
	<-window.Done()
	wg.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	last, done := context.WithTimeout(ctx, propagationTimeout)
	await := &Request{Do: doWait, Seq: f.seq}
	for _, c := range f.drains {
		await.IDs = append(await.IDs, c.ID)
	}
	f.recordError(f.askAll(last, await))
	done()
	took := now() - began
	return f.collect(ctx, took, f.changes[first:])
}

// runPeriodically calls a function a number of times per minute, one call at a time, until the window ends.
func (f *fleet) runPeriodically(window context.Context, wg *sync.WaitGroup, perMinute float64, do func(i int) error) {
	if perMinute <= 0 {
		return
	}
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Minute) / perMinute))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-window.Done():
				return
			case <-tick.C:
				f.recordError(do(i))
			}
		}
	})
}

// submit commits an update through random agents and records it. It must be called by one goroutine at a time.
func (f *fleet) submit(ctx context.Context, patch bool, body []byte) error {
	c := Change{Seq: f.seq + 1, SentAt: now()}
	q := &Request{Do: doSubmit, Update: chain.Update{Patch: patch, IfMatch: f.revision, Body: body}}
	for {
		i := rand.IntN(len(f.agentHosts))
		q.Node = rand.IntN(f.nodesPerHost[i])
		once, cancel := context.WithTimeout(ctx, callTimeout)
		a, err := f.agentHosts[i].Do(once, q)
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil || a.Result.Outcome == chain.OutcomeUnknown: // retry at another agent
		case a.Result.Outcome == chain.OutcomeCommitted:
			c.AckedAt = a.At
			f.mu.Lock()
			f.seq, f.revision = c.Seq, a.Result.Revision
			f.changes = append(f.changes, c)
			f.mu.Unlock()
			return nil
		default:
			return errors.Errorf("update of revision %d: %s %s", f.revision, a.Result.Outcome, a.Result.Reason)
		}
	}
}

// drain drains a server and records it. The server comes back later as a new incarnation.
func (f *fleet) drain(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := fmt.Sprintf("i-%05d-%02d", number, f.serverIncarnations[number])
	if err := ask(ctx, f.hosts(), &Request{Do: doWatch, IDs: []string{id}}, nil); err != nil && f.cfg.Lose == LoseNone {
		return err
	}
	c := Change{ID: id, SentAt: now()}
	a, err := f.agentHosts[f.serverHosts[number]].Do(ctx, &Request{Do: doDrain, Node: number})
	if err != nil {
		return err
	}
	f.serverIncarnations[number]++
	if a.ID != id || a.At == 0 {
		return errors.Errorf("the drain of %s was not acknowledged", id)
	}
	c.AckedAt = a.At
	f.mu.Lock()
	f.drains = append(f.drains, c)
	f.mu.Unlock()
	return nil
}

// restartAgent stops an agent, every second time without a graceful departure, and restarts it.
func (f *fleet) restartAgent(ctx context.Context, i int) error {
	at := i % len(f.agentHosts)
	q := &Request{Node: i / len(f.agentHosts) % f.nodesPerHost[at], Graceful: i/2%2 == 0}
	for _, q.Do = range []string{doStop, doRestart} {
		once, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := f.agentHosts[at].Do(once, q)
		cancel()
		if err != nil {
			return err
		}
		if q.Do == doStop && !sleep(ctx, departureTime) {
			return ctx.Err()
		}
	}
	return nil
}

// loseMember kills a member of the core after a third of the window and restores it after two thirds.
func (f *fleet) loseMember(window context.Context) error {
	if !sleep(window, f.cfg.Window/3) {
		return nil
	}
	places := make([]NodeReport, len(f.coreHosts))
	if err := ask(window, f.coreHosts, &Request{Do: doStatus}, func(i int, a *Reply) { places[i] = a.Report.Nodes[0] }); err != nil {
		return err
	}
	at := -1
	for i, p := range places {
		if p.Position >= 0 && (f.cfg.Lose == LoseHead && p.Position == 0 || f.cfg.Lose == LoseTail && p.Position == p.ChainLength-1 ||
			f.cfg.Lose == LoseMiddle && p.Position == p.ChainLength/2) {
			at = i
		}
	}
	if at < 0 {
		return errors.Errorf("no member of the chain is its %s", f.cfg.Lose)
	}
	l := &Loss{Name: places[at].Name, Position: f.cfg.Lose, LostAt: now()}
	if err := f.coreHosts[at].Kill(window); err != nil {
		return err
	}
	f.mu.Lock()
	f.loss = l
	f.mu.Unlock()
	ctx := context.WithoutCancel(window)
	sleep(window, f.cfg.Window/3)
	l.RestoredAt = now()
	return f.coreHosts[at].Restore(ctx)
}
