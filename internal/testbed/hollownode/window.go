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
	startedAt := now()
	window, cancel := context.WithTimeout(ctx, f.cfg.Window)
	defer cancel()
	var workload sync.WaitGroup
	f.runPeriodically(window, &workload, f.cfg.Changes, func(int) error {
		return f.submit(ctx, true, sampling.Change(f.revision+1, f.cfg.Size))
	})
	f.runPeriodically(window, &workload, f.cfg.Drains, func(i int) error { return f.drain(ctx, i%f.cfg.Servers) })
	f.runPeriodically(window, &workload, f.cfg.Churn, func(i int) error { return f.restartAgent(ctx, i) })
	if f.cfg.Lose != LoseNone {
		workload.Go(func() { f.recordError(f.loseMember(window)) })
	}
	<-window.Done()
	workload.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	waitCtx, cancelWait := context.WithTimeout(ctx, propagationTimeout)
	request := &Request{Do: doWait, Seq: f.seq}
	for _, c := range f.drains {
		request.IDs = append(request.IDs, c.ID)
	}
	f.recordError(f.askAll(waitCtx, request))
	cancelWait()
	took := now() - startedAt
	return f.collect(ctx, took, f.changes[first:])
}

// runPeriodically calls a function a number of times per minute, one call at a time, until the window ends.
func (f *fleet) runPeriodically(window context.Context, wg *sync.WaitGroup, perMinute float64, call func(i int) error) {
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
				f.recordError(call(i))
			}
		}
	})
}

// submit commits an update through random agents and records it. It must be called by one goroutine at a time.
func (f *fleet) submit(ctx context.Context, patch bool, body []byte) error {
	change := Change{Seq: f.seq + 1, SentAt: now()}
	request := &Request{Do: doSubmit, Update: chain.Update{Patch: patch, IfMatch: f.revision, Body: body}}
	for {
		i := rand.IntN(len(f.agentHosts))
		request.Node = rand.IntN(f.nodesPerHost[i])
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := f.agentHosts[i].Do(attemptCtx, request)
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil || reply.Result.Outcome == chain.OutcomeUnknown: // retry at another agent
		case reply.Result.Outcome == chain.OutcomeCommitted:
			change.AckedAt = reply.At
			f.mu.Lock()
			f.seq, f.revision = change.Seq, reply.Result.Revision
			f.changes = append(f.changes, change)
			f.mu.Unlock()
			return nil
		default:
			return errors.Errorf("update of revision %d: %s %s", f.revision, reply.Result.Outcome, reply.Result.Reason)
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
	change := Change{ID: id, SentAt: now()}
	reply, err := f.agentHosts[f.serverHosts[number]].Do(ctx, &Request{Do: doDrain, Node: number})
	if err != nil {
		return err
	}
	f.serverIncarnations[number]++
	if reply.ID != id || reply.At == 0 {
		return errors.Errorf("the drain of %s was not acknowledged", id)
	}
	change.AckedAt = reply.At
	f.mu.Lock()
	f.drains = append(f.drains, change)
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
	reports := make([]NodeReport, len(f.coreHosts))
	if err := ask(window, f.coreHosts, &Request{Do: doStatus}, func(i int, a *Reply) { reports[i] = a.Report.Nodes[0] }); err != nil {
		return err
	}
	target := -1
	for i, p := range reports {
		if p.Position >= 0 && (f.cfg.Lose == LoseHead && p.Position == 0 || f.cfg.Lose == LoseTail && p.Position == p.ChainLength-1 ||
			f.cfg.Lose == LoseMiddle && p.Position == p.ChainLength/2) {
			target = i
		}
	}
	if target < 0 {
		return errors.Errorf("no member of the chain is its %s", f.cfg.Lose)
	}
	loss := &Loss{Name: reports[target].Name, Position: f.cfg.Lose, LostAt: now()}
	if err := f.coreHosts[target].Kill(window); err != nil {
		return err
	}
	f.mu.Lock()
	f.loss = loss
	f.mu.Unlock()
	ctx := context.WithoutCancel(window)
	sleep(window, f.cfg.Window/3)
	loss.RestoredAt = now()
	return f.coreHosts[target].Restore(ctx)
}
