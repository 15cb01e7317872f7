package daemon

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// settingsPollInterval is the interval at which the settings file is read to detect changes without a
// signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file on each value from reload and when the file has changed, until
// ctx ends.
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

// reloadSettings reads the settings file and applies its seeds if the file has changed or force is set.
// All other settings belong to the machine and take effect only after a restart. An invalid file is
// logged and changes nothing.
func (d *Daemon) reloadSettings(force bool) {
	fileSettings, err := settings.Load(d.settingsPath)
	if err != nil {
		logevent.SettingsInvalid.Error(err)
		return
	}
	previousSettings := d.settings.Load()
	if fileSettings.Digest == previousSettings.Digest && !force {
		return
	}
	newSettings := *previousSettings
	newSettings.Seeds, newSettings.Digest = fileSettings.Seeds, fileSettings.Digest
	d.settings.Store(&newSettings)
	logevent.SettingsReloaded.Log("seeds", fileSettings.Seeds)
}
