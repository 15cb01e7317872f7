package daemon

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// settingsPollInterval is the period at which the settings file is read: it may change without a
// signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file on each signal and when it has changed, until ctx ends.
func (d *Daemon) watchSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			d.reloadSettings(true)
		case <-ticker.C:
			d.reloadSettings(false)
		}
	}
}

// reloadSettings reads the settings file and puts the seeds into force, if the file has changed or
// force is set. All other settings are bound to the machine and require a restart. An invalid file
// changes nothing.
func (d *Daemon) reloadSettings(force bool) {
	loaded, err := settings.Load(d.settingsPath)
	if err != nil {
		logevent.SettingsInvalid.Error(err)
		return
	}
	current := d.settings.Load()
	if loaded.Digest == current.Digest && !force {
		return
	}
	next := *current
	next.Seeds, next.Digest = loaded.Seeds, loaded.Digest
	d.settings.Store(&next)
	logevent.SettingsReloaded.Log("seeds", loaded.Seeds)
}
