//go:build race

package view

// raced tells that the race detector slows the tests down several times.
const raced = true
