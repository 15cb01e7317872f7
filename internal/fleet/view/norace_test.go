//go:build !race

package view

const raced = false
