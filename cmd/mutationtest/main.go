// Command defects plays each known small defect of the code on a copy of the tree and tells whether
// the tests find it.
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
	Only  string        `name:"only" default:"." help:"Pattern of the ids to play."`
	Point int           `name:"point" default:"0" help:"The point whose defects are played; 0: all."`
	Jobs  int           `name:"jobs" default:"2" help:"Defects that are played beside each other."`
	Limit time.Duration `name:"limit" default:"60s" help:"Time limit of one run of tests."`
	Trust bool          `name:"trust" help:"Don't first run the tests without any defect."`
	Show  bool          `name:"show" help:"Print the tests' output, too."`
	List  bool          `name:"list" help:"Print the defects and play none."`
}

// errNotAllFound tells that the summary names defects that were not found.
var errNotAllFound = errors.New("not all defects are found: see the summary")

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("defects"), kong.UsageOnError(),
		kong.Description("Plays small defects of the code on a copy of the tree. Exit status 1: not all were found."))
	ctx.FatalIfErrorf(c.run(os.Stdout))
}

func (c *cli) run(out io.Writer) error {
	only, err := regexp.Compile(c.Only)
	if err != nil {
		return errors.Wrap(err, "read --only")
	}
	var table []mutation.Defect
	for _, d := range mutation.Table {
		if only.MatchString(d.ID) && (c.Point == 0 || int(d.Point) == c.Point) {
			table = append(table, d)
		}
	}
	if c.List {
		for _, d := range table {
			fmt.Fprintf(out, "%-36s %d  %-28s %s of %s\n", d.ID, d.Point, d.File, d.Run, strings.Join(d.Packages, " "))
		}
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c.play(ctx, out, table)
}

func (c *cli) play(ctx context.Context, out io.Writer, table []mutation.Defect) (err error) {
	dir, err := os.MkdirTemp("", "defects")
	if err != nil {
		return errors.Wrap(err, "make a folder for the copy")
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	p := mutation.Player{Tree: filepath.Join(dir, "tree"), Dir: dir, Limit: c.Limit, Jobs: c.Jobs}
	if err := mutation.CopyTree(ctx, c.Root, p.Tree); err != nil {
		return err
	}
	if !c.Trust {
		if err := p.Sound(ctx, table); err != nil {
			return err
		}
	}
	counts := map[mutation.Verdict]int{}
	p.Play(ctx, table, func(r mutation.Result) {
		counts[r.Verdict]++
		fmt.Fprintf(out, "%-14s %-36s point %d  %5.1fs  %s\n", r.Verdict, r.Defect.ID, r.Defect.Point, r.Took.Seconds(), strings.Join(r.Tests, " "))
		if c.Show {
			fmt.Fprintln(out, r.Output)
		}
	})
	fmt.Fprintf(out, "%d of %d found", counts[mutation.Found], len(table))
	for v := mutation.NotFound; v <= mutation.Interrupted; v++ {
		if counts[v] > 0 {
			fmt.Fprintf(out, ", %d %s", counts[v], v)
		}
	}
	fmt.Fprintln(out)
	if counts[mutation.Found] < len(table) {
		return errNotAllFound
	}
	return nil
}
