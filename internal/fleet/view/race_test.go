//go:build race

package view

// raceEnabled reports whether the race detector is on, which makes the tests several times slower.
const raceEnabled = true
