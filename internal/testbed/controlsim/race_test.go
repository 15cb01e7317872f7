//go:build race

package controlsim

// changesAfterReturn is the number of changes of a large fleet after a power loss.
const changesAfterReturn = 1
