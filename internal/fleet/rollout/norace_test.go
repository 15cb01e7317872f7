//go:build !race

package rollout

// raceEnabled reports whether the race detector is on.
const raceEnabled = false
