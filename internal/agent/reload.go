package agent

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"
)

const (
	// reloadRetryInterval and maxReloadAttempts bound how an unusable file is read again: SIGHUP may arrive
	// while it is still being written.
	reloadRetryInterval, maxReloadAttempts = 100 * time.Millisecond, 100
)

// reload reads the configuration again at each signal and calls use with the address of discovery that it names.
// The old configuration stays in force until a new one is valid. All other differences need a restart, and are
// only logged.
func reload(ctx context.Context, signals <-chan os.Signal, read func() (*Config, error), old *Config, use func(discovery string)) {
	retry := time.NewTimer(0)
	<-retry.C
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			failures = 0
		case <-retry.C:
		}
		config, err := read()
		if err != nil {
			if failures++; failures == 1 || failures == maxReloadAttempts {
				slog.Warn("configuration not used, the old one stays in force", "err", err, "attempt", failures)
			}
			if failures < maxReloadAttempts {
				retry.Reset(reloadRetryInterval)
			}
			continue
		}
		retry.Stop()
		logRestartNeeded(old, config)
		slog.Info("configuration read again", "discovery", config.Discovery)
		use(config.Discovery)
	}
}

// logRestartNeeded logs the fields that differ and take effect after a restart alone.
func logRestartNeeded(old, config *Config) {
	for _, field := range []struct {
		name string
		same bool
	}{
		{"name", config.Name == old.Name},
		{"listen", config.Listen == old.Listen},
		{"limits", config.Cores == old.Cores && config.MemoryMB == old.MemoryMB && config.Sockets == old.Sockets},
		{"settings", reflect.DeepEqual(config.Settings, old.Settings) &&
			reflect.DeepEqual(config.Zones, old.Zones) && reflect.DeepEqual(config.MachineKinds, old.MachineKinds)},
	} {
		if !field.same {
			slog.Warn("changed in the configuration, but used only after a restart", "field", field.name)
		}
	}
}
