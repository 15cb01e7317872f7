package agent

import (
	"os"
	"time"
)

// Options are the optional parts of an agent; the zero value has none.
type Options struct {
	// ReloadSignals asks for the configuration to be read again, by ReadConfig.
	ReloadSignals <-chan os.Signal
	ReadConfig    func() (*Config, error)
	// Observer may be nil.
	Observer Observer
	// Restore is the state that an earlier process saved; nil: none.
	Restore *SavedState
	// Save gets the state to save, every SaveInterval and at the end. The loop calls it, so it must not
	// block. It may be nil.
	Save         func(*SavedState)
	SaveInterval time.Duration
	// Coordinator may be nil: the agent acts alone.
	Coordinator Coordinator
}
