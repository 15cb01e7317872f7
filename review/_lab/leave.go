package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// leaveDown is how long the machine that acknowledged the leave is without power.
	leaveDown = 3200 * time.Millisecond
	// leaveServes is how long the server serves on after its leave was acknowledged.
	leaveServes = 9 * time.Second
)

// playLeave has a server leave by DELETE, and takes the power of the machine that acknowledged it. It returns how many
// requests reach the server more than drain-ms after the acknowledgement, from a machine that has been in touch for
// contact-ms.
func playLeave(s *scene) (broken int, err error) {
	f, err := newFleet(s.dir, s.command, 5, 3, s.log)
	if err != nil {
		return 0, err
	}
	defer f.close()
	home := f.machines[1]
	var servers []*server
	for i := range 3 {
		server, err := startServer(fmt.Sprintf("i-server-%d", i+1), "admit-llm", f.machines[i].zone, f.net.address(100+i, serverPort), 40*time.Millisecond, f.controls, home.control(), s.log)
		if err != nil {
			return 0, err
		}
		defer server.close()
		servers = append(servers, server)
	}
	if err := putConfiguration(f, 0, configuration(1, "unsafe", 3*time.Second, "admit-llm")); err != nil {
		return 0, err
	}
	for _, m := range f.machines {
		if err := awaitReady(m); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * contact)
	c := newClient(home, s.log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var traffic sync.WaitGroup
	traffic.Go(func() { c.run(ctx, 30, 3*time.Second) })
	time.Sleep(2 * time.Second)

	leaving := servers[0]
	leaving.stopBeats()
	by := leaving.call(http.MethodDelete)
	acknowledged := s.log.now()
	if by != home.control() {
		return 0, fmt.Errorf("the leave was acknowledged by %q", by)
	}
	s.log.event("server %s: its leave is acknowledged by %s", leaving.id, home.name)
	touched := acknowledged // from when on the machine has been in touch
	if s.trouble {
		home.kill()
		time.Sleep(leaveDown)
		if err := home.start(false); err != nil {
			return 0, err
		}
		touched = s.log.now() + contact
		if err := awaitReady(home); err != nil {
			return 0, err
		}
		s.log.event("%s is ready", home.name)
	}
	time.Sleep(acknowledged + leaveServes - s.log.now())
	cancel()
	traffic.Wait()
	requests := c.requests()
	late := 0
	for _, run := range leaving.began() {
		if run.at < acknowledged+drain {
			continue
		}
		late++
		sentAt := requests[run.attempt].at
		if sentAt > touched {
			broken++
			s.log.event("DRAIN: request %s, sent at %.3f to a machine in touch since %.3f, reaches server %s at %.3f, %.3f s after its leave was acknowledged",
				run.attempt, sentAt.Seconds(), touched.Seconds(), run.server, run.at.Seconds(), (run.at - acknowledged).Seconds())
		}
	}
	s.log.event("%d requests reach the server more than drain-ms after the acknowledgement, %d of them from a machine in touch", late, broken)
	return broken, nil
}
