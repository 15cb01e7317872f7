package agent

import (
	"os"
	"time"
)

// Options are the optional parts of an agent. The zero value has none of them.
type Options struct {
	// ReloadSignals triggers reading the configuration again, with ReadConfig. It may be nil.
	ReloadSignals <-chan os.Signal
	ReadConfig    func() (*Config, error)
	// Observer may be nil.
	Observer Observer
	// Restore is the state that an earlier process saved, or nil.
	Restore *SavedState
	// Save is called with the state to save, every SaveInterval and at the end. The loop calls it, so it must not
	// block. It may be nil.
	Save         func(*SavedState)
	SaveInterval time.Duration
	// Coordinator may be nil: then the agent acts alone.
	Coordinator Coordinator
}
