package main

import (
	"testing"

	"github.com/alecthomas/kong"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenCommandLine(t *testing.T) {
	goldentest.CommandLine(t, &cli{}, kong.Vars{"faults": "kill-core,other"})
}
