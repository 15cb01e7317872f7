package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/schollz/progressbar/v3"

	"chalkdoor.example/chalkdoor/experiments"
	"chalkdoor.example/chalkdoor/internal/testbed/experiment"
	"chalkdoor.example/chalkdoor/internal/testbed/report"
)

// errFailed is an experiment whose claims were not kept: all that is to say has been printed.
var errFailed = errors.New("not all claims were kept")

type runCmd struct {
	Name   []string `name:"name" arg:"" help:"Experiments, by name or as files. agentlab list names those there are."`
	Seed   uint64   `name:"seed" default:"1" help:"Of all that is drawn: arrivals, servers, and whom faults befall."`
	Repeat uint64   `name:"repeat" default:"1" help:"Plays of each, with as many seeds from the first."`
	Quick  bool     `name:"quick" help:"The short form, within 45 s."`
	Out    string   `name:"out" help:"Folder for reports and plots." type:"path" default:"out"`
	Bin    string   `name:"bin" help:"The agent's program; built from this source if there is none beside agentlab." type:"path" placeholder:"FILE"`
}

// Run plays and ends each play with a line PASSED or FAILED.
func (c *runCmd) Run(out io.Writer) error {
	// Also at a hang-up: no process may be left behind.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	bin, err := c.program(ctx)
	if err != nil {
		return err
	}
	failed := false
	for _, name := range c.Name {
		f, err := find(name)
		if err != nil {
			return err
		}
		for seed := c.Seed; seed < c.Seed+c.Repeat; seed++ {
			dir := filepath.Join(c.Out, f.Name)
			if c.Repeat > 1 {
				dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
			}
			r, err := experiment.Run(ctx, f, experiment.Options{Seed: seed, Quick: c.Quick, Bin: bin, Dir: filepath.Join(dir, "logs"), Progress: progress()})
			if err != nil {
				return err
			}
			if err := r.Write(dir); err != nil {
				return err
			}
			failed = !verdict(out, r, dir) || failed
		}
	}
	if failed {
		return errFailed
	}
	return nil
}

// verdict prints each claim and the closing line, and tells whether all were kept.
func verdict(out io.Writer, r *report.Report, dir string) bool {
	fmt.Fprintf(out, "%s, seed %d: %d agents, %d servers, %.0f requests a second; the laboratory carries %.0f and was %.1f ms late (p99)\n",
		r.Name, r.Seed, r.Agents, r.Servers, r.Rate, r.Ceiling, r.Behind)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, p := range r.Plays {
		f := p.Figures
		fmt.Fprintf(w, "  %s\tworth %.3f\tserved %.3f\tlate %.3f\trefused %.3f\tfailed %.3f\tp50 %.0f\tp99 %.0f ms\tcross %.2f\tattempts %.2f\tconnections %.3f\n", p.Name,
			f["served_worth"], f["served"], f["late"], f["refused"], f["failed"], f["p50_ms"], f["p99_ms"], f["cross_zone"], f["attempts"], f["connections"])
	}
	for _, c := range r.Claims {
		kept := "kept"
		if !c.Kept {
			kept = "NOT KEPT"
		}
		fmt.Fprintf(w, "  %s\t%.4g against %.4g\t%s\n", c.Text, c.Value, c.Bound, kept)
	}
	w.Flush()
	for i, v := range r.Violations {
		if i == 5 {
			fmt.Fprintf(out, "  and %d more in the report\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(out, "  "+strings.ReplaceAll(v, "\n", "\n  "))
	}
	fmt.Fprintf(out, "  report: %s\n", filepath.Join(dir, "report.md"))
	if why := r.Failed(); why != "" {
		fmt.Fprintf(out, "FAILED %s: %s\n", r.Name, why)
		return false
	}
	fmt.Fprintf(out, "PASSED %s\n", r.Name)
	return true
}

// find reads an experiment by its name, or from a file.
func find(name string) (*experiment.File, error) {
	if dir, file := filepath.Split(name); strings.HasSuffix(file, ".toml") {
		return experiment.LoadFile(os.DirFS(filepath.Clean("./"+dir)), strings.TrimSuffix(file, ".toml"))
	}
	f, err := experiment.LoadFile(experiments.Files, name)
	if errors.Is(err, fs.ErrNotExist) {
		known, _ := experiment.List(experiments.Files)
		return nil, fmt.Errorf("no experiment %q; there are %s", name, strings.Join(known, ", "))
	}
	return f, err
}

// program is the agent's: as named, beside this one, or built.
func (c *runCmd) program(ctx context.Context) (string, error) {
	if c.Bin != "" {
		return filepath.Abs(c.Bin)
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	if beside := filepath.Join(filepath.Dir(self), "chalkdoor"); executable(beside) {
		return beside, nil
	}
	bin, err := filepath.Abs(filepath.Join(c.Out, "chalkdoor"))
	if err != nil {
		return "", err
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", bin, "chalkdoor.example/chalkdoor/cmd/chalkdoor")
	if text, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the agent: %w\n%s", err, text)
	}
	return bin, nil
}

func executable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}

// progress shows a bar on a terminal, and nothing elsewhere.
func progress() func(string, float64) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	var bar *progressbar.ProgressBar
	of := ""
	return func(play string, done float64) {
		if play != of {
			of = play
			bar = progressbar.NewOptions(100, progressbar.OptionSetDescription(play), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish())
		}
		_ = bar.Set(int(100 * done)) // a bar that fails to show is no fault of the play
	}
}

type listCmd struct{}

// Run names the experiments.
func (listCmd) Run(out io.Writer) error {
	names, err := experiment.List(experiments.Files)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range names {
		f, err := experiment.LoadFile(experiments.Files, name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%s\n", name, f.About)
	}
	return w.Flush()
}

type reportCmd struct {
	Dir string `name:"dir" arg:"" help:"Folder of a report." type:"path"`
}

// Run prints a report again, and draws its plots anew.
func (c *reportCmd) Run(out io.Writer) error {
	r, err := report.Read(c.Dir)
	if err != nil {
		return err
	}
	if err := r.Write(c.Dir); err != nil {
		return err
	}
	r.Markdown(out)
	return nil
}

type compareCmd struct {
	A string `name:"a" arg:"" help:"Folder of a report, or of one for each seed." type:"path"`
	B string `name:"b" arg:"" help:"The other." type:"path"`
}

// Run sets two reports side by side.
func (c *compareCmd) Run(out io.Writer) error {
	a, err := reports(c.A)
	if err != nil {
		return err
	}
	b, err := reports(c.B)
	if err != nil {
		return err
	}
	return report.Compare(out, a, b)
}

// reports reads the report of a folder, or those of its seeds.
func reports(dir string) (all []*report.Report, err error) {
	seeds, err := filepath.Glob(filepath.Join(dir, "seed-*"))
	if err != nil || len(seeds) == 0 {
		seeds = []string{dir}
	}
	for _, s := range seeds {
		r, err := report.Read(s)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}
