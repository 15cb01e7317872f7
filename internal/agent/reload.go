package agent

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"
)

const (
	// reloadRetryInterval and maxReloadAttempts bound the retries after an unusable file was read: SIGHUP may
	// arrive while the file is still being written.
	reloadRetryInterval, maxReloadAttempts = 100 * time.Millisecond, 100
)

// reload reads the configuration again at each signal and calls use with its address of discovery. The old
// configuration stays in force until a valid one is read. All other changes need a restart and are only logged.
func reload(ctx context.Context, signals <-chan os.Signal, read func() (*Config, error), old *Config,
	use func(discovery string)) {
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
		slog.Info("configuration reloaded", "discovery", config.Discovery)
		use(config.Discovery)
	}
}

// logRestartNeeded logs the changed fields that take effect only after a restart.
func logRestartNeeded(old, config *Config) {
	for _, field := range []struct {
		name      string
		unchanged bool
	}{
		{"name", config.Name == old.Name},
		{"listen", config.Listen == old.Listen},
		{"limits", config.Cores == old.Cores && config.MemoryMB == old.MemoryMB && config.Sockets == old.Sockets},
		{"settings", reflect.DeepEqual(config.Settings, old.Settings) &&
			reflect.DeepEqual(config.Zones, old.Zones) && reflect.DeepEqual(config.MachineKinds, old.MachineKinds)},
	} {
		if !field.unchanged {
			slog.Warn("changed configuration takes effect after a restart", "field", field.name)
		}
	}
}
