// Package reloadsignal receives SIGHUP, by which the platform has settings read again, from the first
// moment of a process on: until a process asks for the signal, it ends it. Packages without further
// imports are initialized before all that import more, so this one imports next to nothing.
package reloadsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// received holds one signal: those that arrive before it was taken are merged.
var received = notify()

func notify() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Requests returns the channel on which requests to reload arrive, those from before the call included.
func Requests() <-chan os.Signal { return received }
