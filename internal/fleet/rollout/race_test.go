//go:build race

package rollout

// raceEnabled reports whether the race detector is on, which makes the tests about ten times slower. All
// tests here have a single goroutine, so those that would take minutes are shortened or skipped.
const raceEnabled = true
