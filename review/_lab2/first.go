package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["killed-at-first-start"] = killedAtFirstStart }

const (
	// recoveryTime and ackTime are bounds of the site: recovery-s and ack-ms.
	recoveryTime = 15 * time.Second
	ackTime      = 5 * time.Second
	// patience is how long the operator goes on beyond them.
	patience = 20 * time.Second
)

// killedAtFirstStart: the loss of two machines with a disk is to be borne at once. Half a second after the whole system
// has started for the first time, two of the three machines that the settings name as seeds are killed. They start again
// a second later, with their disks. The operator sends the first configuration until it is taken. Servers send beats, and
// clients requests, as soon as the bounds for both are over.
func killedAtFirstStart(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 8, 4, 4)
	if err != nil {
		return unplayed, err
	}
	defer f.close()
	f.losses, f.bounds = 2, grownBounds
	if err := f.startAll(true); err != nil {
		return unplayed, err
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		lost := f.machines[:2] // both are seeds
		for _, m := range lost {
			f.signal(m, syscall.SIGKILL)
		}
		for _, m := range lost {
			<-m.exited
		}
		time.Sleep(time.Second)
		for _, m := range lost {
			if err := f.startMachine(m, false); err != nil {
				return unplayed, err
			}
		}
	}
	back := rec.now()
	rec.logf("all machines run from %.3f on", back.Seconds())
	for i := range 4 {
		s, err := f.newServer(i, "llm", f.machines[i].zone)
		if err != nil {
			return unplayed, err
		}
		s.beat(f.machines)
	}
	c := newClient(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := time.AfterFunc(recoveryTime+ackTime, func() {
		c.load(ctx, func() []*machine { return f.machines }, 100*time.Millisecond, "desk.example", "/verdict/x", 3*time.Second)
	})
	order := fmt.Appendf(nil, oneRoute, 1)
	status := 0
	for i := 0; status != 200 && rec.now() < back+recoveryTime+ackTime+patience; i++ {
		m := f.machines[i%len(f.machines)]
		status, _, err = call(context.Background(), "PUT", m.control(), "/chalkdoor/config", "0", order, time.Second)
		rec.logf("operator PUT to %s: %d %v", m.name, status, err)
		if status != 200 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	taken := rec.now() - back
	if clients.Stop() { // the configuration was taken in time
		time.Sleep(5 * time.Second)
		c.load(ctx, func() []*machine { return f.machines }, 100*time.Millisecond, "desk.example", "/verdict/x", 3*time.Second)
		time.Sleep(5 * time.Second)
	}
	cancel()
	c.wg.Wait()
	served := 0
	for _, s := range c.sent {
		if s.status == 200 && s.whole {
			served++
		}
	}
	running := 0
	for _, m := range f.machines {
		if m.running() {
			running++
		}
	}
	if status == 200 && taken <= recoveryTime+ackTime && served > 0 {
		summary := fmt.Sprintf("the first configuration was taken %.1f s after all machines were back; %d of %d requests served; %d of %d processes run", taken.Seconds(), served, len(c.sent), running, len(f.machines))
		rec.logf("%s", summary)
		fmt.Println(summary)
		return held, nil
	}
	summary := fmt.Sprintf("the first configuration was not taken within %.0f s after all machines were back; %d of %d requests served; %d of %d processes run", taken.Seconds(), served, len(c.sent), running, len(f.machines))
	rec.logf("BROKEN: %s", summary)
	fmt.Println(summary)
	return broken, nil
}
