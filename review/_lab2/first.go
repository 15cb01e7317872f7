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
	recoveryTime = 12 * time.Second
	ackTime      = 4 * time.Second
	// patience is how long the operator goes on beyond them.
	patience = 24 * time.Second
)

// killedAtFirstStart: half a second after the whole system has started for the first time all machines of the core are
// killed at once. They start again a second later, with their disks. The operator sends the first configuration until it
// is taken.
func killedAtFirstStart(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 4, 5, 4)
	if err != nil {
		return unplayed, err
	}
	defer f.close()
	if err := f.startAll(true); err != nil {
		return unplayed, err
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		var core []*machine
		for _, m := range f.machines {
			if m.disk {
				core = append(core, m)
				f.signal(m, syscall.SIGKILL)
			}
		}
		for _, m := range core {
			<-m.exited
		}
		time.Sleep(time.Second)
		for _, m := range core {
			if err := f.startMachine(m, false); err != nil {
				return unplayed, err
			}
		}
	}
	back := rec.now()
	rec.logf("all machines run from %.3f on", back.Seconds())
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
	running := 0
	for _, m := range f.machines {
		if m.running() {
			running++
		}
	}
	if status == 200 && taken <= recoveryTime+ackTime {
		summary := fmt.Sprintf("the first configuration was taken %.1f s after all machines were back; %d of %d processes run", taken.Seconds(), running, len(f.machines))
		rec.logf("%s", summary)
		fmt.Println(summary)
		return held, nil
	}
	summary := fmt.Sprintf("the first configuration was not taken within %.0f s after all machines were back; %d of %d processes run", taken.Seconds(), running, len(f.machines))
	rec.logf("BROKEN: %s", summary)
	fmt.Println(summary)
	return broken, nil
}
