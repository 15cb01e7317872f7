package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"
)

const (
	// minDrainTime is the least time for which pending requests are drained. drainMargin is added to the longest
	// client timeout.
	minDrainTime, drainMargin = 100 * time.Millisecond, 50 * time.Millisecond
)

// Run serves until stop is done and then shuts down gracefully. It returns nil after the shutdown, and an error
// if it ends for another reason. At each of the options' ReloadSignals it reads the configuration with ReadConfig
// and applies what can change without a restart.
func Run(stop context.Context, config *Config, ln net.Listener, options Options) error {
	return run(stop, config, ln, func(l *eventLoop) {
		if options.Observer != nil {
			l.observer = options.Observer
			l.observer.Started(l.stats)
		}
		l.restoredState, l.save, l.saveInterval = options.Restore, options.Save, options.SaveInterval
		l.coordinator = options.Coordinator
		if options.ReloadSignals != nil {
			go reload(stop, options.ReloadSignals, options.ReadConfig, config, func(discovery string) {
				l.post(func() { l.switchDiscovery(discovery) })
			})
		}
	})
}

// run is Run with a function that configures the loop before it starts.
func run(stop context.Context, config *Config, ln net.Listener, configure func(*eventLoop)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // after the frontend has ended: pending requests need the loop
	front := newFrontend(config)
	loop, err := newEventLoop(ctx, config, func() { front.ready.Store(true) })
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	front.loop = loop
	configure(loop)
	loopEnded := make(chan struct{})
	go func() {
		defer close(loopEnded)
		loop.run()
	}()
	failed := make(chan error, 1)
	go func() { failed <- front.serve(ln) }()
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	if err := front.shutdown(drainTime(config)); err != nil {
		slog.Warn("shutdown", "err", err) // only connections that never sent a request are left
	}
	cancel()
	<-loopEnded
	slog.Info("stopped", "counters", fmt.Sprintf("%+v", loop.counters))
	return nil
}

// drainTime returns how long pending requests are drained. SIGKILL follows SIGTERM no sooner than after the
// longest client timeout plus 0.7 s. So the last request has its entire time, and the agent ends well before
// SIGKILL.
func drainTime(config *Config) time.Duration {
	longest := minDrainTime
	for i := range config.Settings.Classes {
		longest = max(longest, milliseconds(config.Settings.Classes[i].ClientTimeoutMs)+drainMargin)
	}
	return longest
}
