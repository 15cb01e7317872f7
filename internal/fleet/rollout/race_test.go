//go:build race

package rollout

// slow tells that each step costs ten times as much. All here is of one goroutine: what takes minutes
// then is played in part or not at all.
const slow = true
