// Command controlsim simulates control planes in virtual time, driven by seeds, and searches for violated guarantees.
// See package internal/testbed/controlsim. The flags and the output call a scenario a point.
package main

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/controlsim"
)

type cli struct {
	Hunt   huntCmd   `name:"hunt" cmd:"" help:"Run many seeds and print totals. Status 1: a guarantee was violated."`
	Replay replayCmd `name:"replay" cmd:"" help:"Run a seed twice, print its log. Status 1: a guarantee was violated."`
	Work   workCmd   `name:"work" cmd:"" hidden:"" help:"Run as a worker of a hunt."`
}

type replayCmd struct {
	Seed  uint64 `name:"seed" arg:"" help:"The seed."`
	Point int    `name:"point" required:"" help:"Point, 1 to 7 (6: tenants, 7: lost zones or regions and poor links)."`
}

func (c *replayCmd) Validate() error {
	_, err := parseScenarios(strconv.Itoa(c.Point))
	return err
}

func (c *replayCmd) Run() error {
	return runInTest(func(t *testing.T) {
		violated, err := controlsim.Replay(t, c.Point, c.Seed, os.Stdout)
		if err != nil || violated {
			t.Errorf("a guarantee was violated, or the log could not be written: %v", err)
		}
	})
}

type workCmd struct {
	Point   string        `name:"point" default:"all"`
	First   uint64        `name:"first" required:""`
	Step    uint64        `name:"step" required:""`
	End     uint64        `name:"end" required:""`
	Minutes time.Duration `name:"minutes" default:"0s"`
}

func (c *workCmd) Run() error {
	scenarios, err := parseScenarios(c.Point)
	if err != nil {
		return err
	}
	worker := controlsim.Worker{Scenarios: scenarios, First: c.First, Step: max(1, c.Step), End: c.End}
	if c.Minutes > 0 {
		worker.Deadline = time.Now().Add(c.Minutes)
	}
	return runInTest(func(t *testing.T) {
		if err := worker.Run(t, os.Stdout); err != nil {
			t.Error(err)
		}
	})
}

// parseScenarios parses the value of the point flag: the number of a scenario, or "all".
func parseScenarios(text string) ([]int, error) {
	if text == "all" {
		var all []int
		for p := range controlsim.ScenarioCount {
			all = append(all, p+1)
		}
		return all, nil
	}
	p, err := strconv.Atoi(text)
	if err != nil || p < 1 || p > controlsim.ScenarioCount {
		return nil, errors.Errorf("point %q: give 1 to %d, or all", text, controlsim.ScenarioCount)
	}
	return []int{p}, nil
}

// runInTest runs a function as a test, because testing/synctest requires one. It exits the process with the status of
// the test and does not return.
func runInTest(fn func(*testing.T)) error {
	os.Args = os.Args[:1] // hides the command line from package testing
	matchAny := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAny, []testing.InternalTest{{Name: "controlsim", F: fn}}, nil, nil)
	return nil
}

func main() {
	testing.Init()
	var c cli
	ctx := kong.Parse(&c, kong.Name("controlsim"),
		kong.Description("Simulates control planes in virtual time, driven by seeds."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
