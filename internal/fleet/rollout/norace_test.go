//go:build !race

package rollout

// slow tells that each step costs ten times as much.
const slow = false
