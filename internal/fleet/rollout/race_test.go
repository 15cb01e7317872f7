//go:build race

package rollout

// raceEnabled reports whether the race detector is on, which makes each step cost ten times as much.
// All tests here have one goroutine: those that would take minutes are played in part or not at all.
const raceEnabled = true
