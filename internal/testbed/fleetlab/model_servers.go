package fleetlab

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// startServer starts server i. If there was one before, the new one is its next incarnation.
func (f *Fleet) startServer(i int) error {
	service := serviceA
	if i%3 == 2 || i == f.cfg.Servers-1 && i < 3 {
		service = serviceB
	}
	engine := f.cfg.Engine
	engine.Speed = 1 + 0.1*float64(i%3)
	s, err := modelserver.Start(modelserver.Config{Addr: hostPort(f.subnet.ip(110+i), serverPort), Service: service, Zone: f.zones[i%len(f.zones)], Revision: "v1", Model: "m", ModelRevision: 1,
		Engine: engine, ConnLimit: connLimit, HealthPath: "/health", ReportLag: 230 * time.Millisecond, Now: f.Now, OnRecord: f.recorder.record,
		Heartbeats: &modelserver.HeartbeatConfig{ControlAddrs: f.controlAddrs, Interval: f.cfg.Bounds.HeartbeatInterval, Drain: f.cfg.Bounds.Drain, Linger: 2 * time.Second}})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.servers) <= i {
		f.servers = append(f.servers, nil)
	}
	if old := f.servers[i]; old != nil {
		f.stoppedServers = append(f.stoppedServers, old)
	}
	f.servers[i] = s
	return nil
}

// Server returns the current incarnation of server i.
func (f *Fleet) Server(i int) *modelserver.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[i]
}

// addressReuseDelay is how long the address of a stopped server must not be reused.
const addressReuseDelay = 2 * time.Second

// RestartServer starts server i again after its end, as soon as its address may be reused, and waits until it is
// registered.
func (f *Fleet) RestartServer(ctx context.Context, i int) error {
	if !sleep(ctx, addressReuseDelay) {
		return ctx.Err()
	}
	if err := f.startServer(i); err != nil {
		return err
	}
	select {
	case <-f.Server(i).Registered():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connLimit is the connection limit of each server.
const connLimit = 330
