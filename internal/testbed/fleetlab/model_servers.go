package fleetlab

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// startServer starts a server in a place, as a new incarnation.
func (l *Fleet) startServer(i int) error {
	service := serviceA
	if i%3 == 2 || i == l.cfg.Servers-1 && i < 3 {
		service = serviceB
	}
	engine := l.cfg.Engine
	engine.Speed = 1 + 0.1*float64(i%3)
	s, err := modelserver.Start(modelserver.Config{Addr: hostPort(l.subnet.ip(110+i), serverPort), Service: service, Zone: l.zones[i%len(l.zones)], Revision: "v1", Model: "m", Weights: 1,
		Engine: engine, ConnLimit: connLimit, HealthPath: "/health", ReportLag: 230 * time.Millisecond, Now: l.Now, Seen: l.recorder.record,
		Beats: &modelserver.BeatConfig{Control: l.controlAddrs, Period: l.cfg.Bounds.HeartbeatInterval, Drain: l.cfg.Bounds.Drain, Linger: 2 * time.Second}})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.servers) <= i {
		l.servers = append(l.servers, nil)
	}
	if old := l.servers[i]; old != nil {
		l.stoppedServers = append(l.stoppedServers, old)
	}
	l.servers[i] = s
	return nil
}

// Server is the one in a place.
func (l *Fleet) Server(i int) *modelserver.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[i]
}

// addressReuseDelay is how long the address of a server that has ended is not used again.
const addressReuseDelay = 2 * time.Second

// RestartServer starts a server in the place of one that has ended, as soon as its address may
// be used again, and waits until it is known.
func (l *Fleet) RestartServer(ctx context.Context, i int) error {
	if !sleep(ctx, addressReuseDelay) {
		return ctx.Err()
	}
	if err := l.startServer(i); err != nil {
		return err
	}
	select {
	case <-l.Server(i).Registered():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connLimit is of each server.
const connLimit = 330
