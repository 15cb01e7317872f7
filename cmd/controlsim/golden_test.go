package main

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenCommandLine(t *testing.T) { goldentest.CommandLine(t, &cli{}) }
