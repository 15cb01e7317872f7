//go:build race

package rollout

// raceEnabled tells that each step costs ten times as much. All tests here use one goroutine: those
// that would take minutes run in part or not at all.
const raceEnabled = true
