// Package reloadsignal receives SIGHUP, with which the platform requests that the settings be read again.
// Until a process is registered for SIGHUP, the signal terminates it. The package therefore registers
// when it is initialized, and has few imports: packages are initialized after those that they import, so
// that one with few imports is initialized early. The runtime starts before any package is initialized, which
// takes some milliseconds. Until then a constructor in C makes the process ignore the signal: no request is lost,
// as the settings have not been read yet. Between its execve and its constructors a process can take no signal.
package reloadsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// received buffers one signal. Further signals that arrive before it is read are merged with it.
var received = notify()

// notify registers for SIGHUP and returns the channel on which the signals arrive.
func notify() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Requests returns the channel on which requests to reload arrive, including one made before the call.
func Requests() <-chan os.Signal { return received }
