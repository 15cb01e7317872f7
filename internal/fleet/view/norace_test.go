//go:build !race

package view

const raceEnabled = false
