package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

const (
	// acceptLinger is how long new connections are still accepted after SIGTERM: the entry checks
	// readiness every second, and removes a process after two failed checks.
	acceptLinger = 2600 * time.Millisecond
	// departureReserve is the time at the end of the grace period that is reserved for announcing the
	// departure to other agents and for closing the state on disk.
	departureReserve = 700 * time.Millisecond
	// maxComponents is the capacity of the channel of errors. No more components than that can fail, so
	// none blocks when it reports its error.
	maxComponents = 9
)

// componentGroup runs the components of a process concurrently and collects their errors.
type componentGroup struct {
	wg   sync.WaitGroup
	errs chan error
}

// start runs a component in a goroutine. If the component fails, its error is sent to errs, wrapped
// with the component's name.
func (c *componentGroup) start(name string, run func() error) {
	c.wg.Go(func() {
		if err := run(); err != nil {
			c.errs <- errors.Wrap(err, name)
		}
	})
}

// Run serves until ctx ends, then shuts down within the grace period and returns nil. If a component
// fails, Run stops the others and returns the error of the first that failed. Each value received from
// reload causes the settings file to be read again.
func (d *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	nodeSettings := d.settings.Load()
	// The components keep running after ctx ends, until the shutdown is complete.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	sockets, err := openListeners(ctx, nodeSettings)
	if err != nil {
		stop()
		_ = d.core.Run(workCtx) // returns once it has closed the state on disk
		return err
	}
	group := &componentGroup{errs: make(chan error, maxComponents)}
	d.startComponents(workCtx, sockets, group, reload)
	logevent.Started.Log("node", nodeSettings.Name, "zone", nodeSettings.Zone,
		"disk", nodeSettings.HasDisk(), "first", nodeSettings.FirstStart)
	select {
	case err = <-group.errs:
		logevent.ComponentFailed.Error(err)
		d.abort(ctx)
	case <-ctx.Done():
		d.shutdown(nodeSettings)
	}
	stop()
	d.peerPool.Close()
	group.wg.Wait()
	return err
}

// startComponents starts all components of the process. The gateway accepts clients until Shutdown closes
// its listener; all other components run until ctx ends.
func (d *Daemon) startComponents(
	ctx context.Context, sockets *listeners, group *componentGroup, reload <-chan struct{},
) {
	if sockets.readiness != nil {
		group.start("readiness", func() error { return d.serveReadiness(ctx, sockets.readiness) })
	}
	handlers := rpc.NewMux()
	d.core.RegisterHandlers(handlers)
	d.relay.RegisterHandlers(handlers)
	if d.quotaBroker != nil {
		d.quotaBroker.RegisterHandlers(handlers)
		d.quotaClient.RegisterHandlers(handlers)
	}
	group.start("peers", func() error { return rpc.Serve(ctx, sockets.peers, handlers, d.peerServerOptions()) })
	if d.quotaBroker != nil {
		group.start("quotas", func() error { return d.quotaBroker.Run(ctx) })
	}
	group.start("core", func() error { return d.core.Run(ctx) })
	group.start("relay", func() error { return d.relay.Run(ctx) })
	group.start("gateway", func() error { return d.gateway.Run(ctx) })
	group.start("newest configuration", func() error { assembly.LoadNewestConfig(ctx, d.core, d.relay); return nil })
	group.start("settings", func() error { d.watchSettings(ctx, reload); return nil })
	if sockets.control != nil {
		group.start("control", func() error { return d.controlServer.Serve(ctx, sockets.control) })
	}
	if sockets.front != nil {
		group.start("front", func() error { return d.gateway.Serve(sockets.front) })
	}
}

// peerServerOptions returns the options of the server of the calls of other agents.
func (d *Daemon) peerServerOptions() rpc.ServerOptions {
	return rpc.ServerOptions{
		MemoryBytes: d.settings.Load().Limits.MemoryMB * bytesPerMB,
		IsPriority:  assembly.IsPriorityCaller(assembly.RelayCore{Member: d.core}.Members, d.seedAddrs),
		Stats:       &d.peerStats,
	}
}

// abort stops the gateway and cancels all requests in flight. It is called when a component has failed.
func (d *Daemon) abort(ctx context.Context) {
	canceledCtx, cancel := context.WithCancel(ctx)
	cancel()
	d.gateway.Shutdown(canceledCtx, 0)
}

// shutdown drains this process: it waits for the requests in flight, hands over its place in the core,
// and announces its departure to other agents. Requests that outlast the grace period are canceled.
func (d *Daemon) shutdown(nodeSettings *settings.Settings) {
	d.gateway.BeginShutdown() // before draining is set, which makes the readiness check fail
	d.draining.Store(true)
	logevent.ShutdownStarted.Log("node", nodeSettings.Name)
	deadline := time.Now().Add(nodeSettings.Grace() - departureReserve)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.relay.AnnounceDraining()
	d.controlServer.Drain()
	var handover sync.WaitGroup
	handover.Go(func() { d.core.Handover(ctx) })
	d.gateway.Shutdown(ctx, acceptLinger)
	handover.Wait()
	departCtx, cancelDepart := context.WithTimeout(context.Background(), departureReserve/2)
	defer cancelDepart()
	d.relay.Depart(departCtx)
	logevent.ShutdownCompleted.Log("node", nodeSettings.Name)
}
