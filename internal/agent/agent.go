package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"
)

// Run serves until stop is done, then ends in order. It returns nil when every
// request that was held has been answered. At each signal of opt.Reread it takes over
// what can change without a restart from the configuration that opt.Read returns.
func Run(stop context.Context, cfg *Config, ln net.Listener, opt Options) error {
	return run(stop, cfg, ln, func(l *eventLoop) {
		if opt.Observer != nil {
			l.observer = opt.Observer
			l.observer.Started(l.stats)
		}
		l.restored, l.save, l.saveInterval = opt.Restore, opt.Save, opt.SaveInterval
		l.coordinator = opt.Coordinator
		if opt.ReloadSignals != nil {
			go reload(stop, opt.ReloadSignals, opt.ReadConfig, cfg, func(discovery string) { l.post(func() { l.switchDiscovery(discovery) }) })
		}
	})
}

// run is Run, which also hands out the loop before it starts.
func run(stop context.Context, cfg *Config, ln net.Listener, made func(*eventLoop)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // only after the front: requests held need the loop to the end
	f := newFrontend(cfg)
	l, err := newEventLoop(ctx, cfg, func() { f.ready.Store(true) })
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	f.loop = l
	made(l)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run()
	}()
	failed := make(chan error, 1)
	go func() { failed <- f.serve(ln) }()
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM:
	// what came last has its whole time, and the end is well before that.
	held := 100 * time.Millisecond
	for _, c := range cfg.Settings.Classes {
		held = max(held, milliseconds(c.ClientTimeoutMs)+50*time.Millisecond)
	}
	if err := f.shutdown(held); err != nil {
		slog.Warn("shutdown", "err", err) // connections that never brought a request
	}
	cancel()
	<-ended
	slog.Info("stopped", "figures", fmt.Sprintf("%+v", l.counters))
	return nil
}
