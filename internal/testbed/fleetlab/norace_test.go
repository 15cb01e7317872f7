//go:build !race

package fleetlab

const raceEnabled = false
