//go:build !race

package controlsim

// changesAfterReturn is the number of changes of a large fleet after a power loss. Under the race detector it is
// smaller, as the simulation takes several times as long.
const changesAfterReturn = 5
