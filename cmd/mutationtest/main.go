// Command mutationtest applies each mutation of the table to a copy of the tree and reports whether the tests detect
// it: see internal/testbed/mutation.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/mutation"
)

type cli struct {
	Root  string        `name:"root" default:"." help:"Root of the tree."`
	Only  string        `name:"only" default:"." help:"Regular expression of the IDs to run."`
	Point int           `name:"point" default:"0" help:"The point whose mutations are run, 1 to 5; 0 runs all."`
	Jobs  int           `name:"jobs" default:"2" help:"Number of mutations to run at once."`
	Limit time.Duration `name:"limit" default:"60s" help:"Time limit of one run of tests."`
	Trust bool          `name:"trust" help:"Skip the run of the tests on the unchanged tree."`
	Show  bool          `name:"show" help:"Also print the output of the tests."`
	List  bool          `name:"list" help:"Print the mutations without running them."`
}

// errNotAllFound is returned if not all mutations were found, after the summary that shows them.
var errNotAllFound = errors.New("not all mutations were found: see the summary")

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("mutationtest"), kong.UsageOnError(),
		kong.Description("Checks that tests detect small mutations of the code. Exits with 1 if one is not found."))
	ctx.FatalIfErrorf(c.run(os.Stdout))
}

// run selects the mutations, and lists or runs them.
func (c *cli) run(out io.Writer) error {
	only, err := regexp.Compile(c.Only)
	if err != nil {
		return errors.Wrap(err, "read --only")
	}
	var table []mutation.Mutation
	for _, m := range mutation.Table {
		if only.MatchString(m.ID) && (c.Point == 0 || int(m.Category) == c.Point) {
			table = append(table, m)
		}
	}
	if c.List {
		for _, m := range table {
			fmt.Fprintf(out, "%-36s %d  %-28s %s of %s\n", m.ID, m.Category, m.File, m.Tests, strings.Join(m.Packages, " "))
		}
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c.runTable(ctx, out, table)
}

// runTable runs the mutations on a copy of the tree and prints the results.
func (c *cli) runTable(ctx context.Context, out io.Writer, table []mutation.Mutation) (err error) {
	dir, err := os.MkdirTemp("", "mutationtest")
	if err != nil {
		return errors.Wrap(err, "create a directory for the copy")
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	runner := mutation.Runner{Tree: filepath.Join(dir, "tree"), OverlayDir: dir, TestTimeout: c.Limit, Parallelism: c.Jobs}
	if err := mutation.CopyTree(ctx, c.Root, runner.Tree); err != nil {
		return err
	}
	if !c.Trust {
		if err := runner.CheckBaseline(ctx, table); err != nil {
			return err
		}
	}
	counts := map[mutation.Verdict]int{}
	runner.RunAll(ctx, table, func(r mutation.Result) {
		counts[r.Verdict]++
		fmt.Fprintf(out, "%-14s %-36s point %d  %5.1fs  %s\n", r.Verdict, r.Mutation.ID, r.Mutation.Category, r.Elapsed.Seconds(), strings.Join(r.FailedTests, " "))
		if c.Show {
			fmt.Fprintln(out, r.Output)
		}
	})
	fmt.Fprintf(out, "%d of %d found", counts[mutation.Killed], len(table))
	for v := mutation.Survived; v <= mutation.Interrupted; v++ {
		if counts[v] > 0 {
			fmt.Fprintf(out, ", %d %s", counts[v], v)
		}
	}
	fmt.Fprintln(out)
	if counts[mutation.Killed] < len(table) {
		return errNotAllFound
	}
	return nil
}
