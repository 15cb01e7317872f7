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

// errFailed is returned if a claim of an experiment does not hold. The details have been printed.
var errFailed = errors.New("not all claims hold")

type runCmd struct {
	Name   []string `name:"name" arg:"" help:"Experiments, by name or as TOML files; agentlab list shows the names."`
	Seed   uint64   `name:"seed" default:"1" help:"Seed of arrivals, servers, and the targets of faults."`
	Repeat uint64   `name:"repeat" default:"1" help:"Number of runs per experiment, with consecutive seeds."`
	Quick  bool     `name:"quick" help:"Run the short form, within 45 s."`
	Out    string   `name:"out" help:"Folder for reports and plots." type:"path" default:"out"`
	Bin    string   `name:"bin" help:"The agent's executable. Default: beside agentlab, or built." type:"path" placeholder:"FILE"`
}

// Run runs the experiments. The output of each run ends with a line PASSED or FAILED.
func (c *runCmd) Run(out io.Writer) error {
	// A hang-up is handled, too, so that no process is left behind.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	bin, err := c.agentProgram(ctx)
	if err != nil {
		return err
	}
	failed := false
	for _, name := range c.Name {
		f, err := loadExperiment(name)
		if err != nil {
			return err
		}
		for seed := c.Seed; seed < c.Seed+c.Repeat; seed++ {
			dir := filepath.Join(c.Out, f.Name)
			if c.Repeat > 1 {
				dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
			}
			r, err := experiment.Run(ctx, f, experiment.Options{Seed: seed, Quick: c.Quick, Bin: bin,
				Dir: filepath.Join(dir, "logs"), Progress: newProgressBar()})
			if err != nil {
				return err
			}
			if err := r.Write(dir); err != nil {
				return err
			}
			failed = !printVerdict(out, r, dir) || failed
		}
	}
	if failed {
		return errFailed
	}
	return nil
}

// printVerdict prints each claim and the final line, and tells whether the experiment passed.
func printVerdict(out io.Writer, r *report.Report, dir string) bool {
	fmt.Fprintf(out, "%s, seed %d: %d agents, %d servers, %.0f requests a second; the laboratory carries %.0f and was %.1f ms late (p99)\n",
		r.Name, r.Seed, r.Agents, r.Servers, r.Rate, r.Ceiling, r.SendDelayP99)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, p := range r.Plays {
		f := p.Figures
		fmt.Fprintf(w, "  %s\tworth %.3f\tserved %.3f\tlate %.3f\trefused %.3f\tfailed %.3f\tp50 %.0f\tp99 %.0f ms\tcross %.2f\tattempts %.2f\tconnections %.3f\n",
			p.Name, f["served_worth"], f["served"], f["late"], f["refused"], f["failed"], f["p50_ms"],
			f["p99_ms"], f["cross_zone"], f["attempts"], f["connections"])
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

// loadExperiment loads an experiment by its name, or from a file.
func loadExperiment(name string) (*experiment.File, error) {
	if dir, file := filepath.Split(name); strings.HasSuffix(file, ".toml") {
		return experiment.LoadFile(os.DirFS(filepath.Clean("./"+dir)), strings.TrimSuffix(file, ".toml"))
	}
	f, err := experiment.LoadFile(experiments.Files, name)
	if errors.Is(err, fs.ErrNotExist) {
		known, _ := experiment.List(experiments.Files)
		return nil, fmt.Errorf("unknown experiment %q, want one of %s", name, strings.Join(known, ", "))
	}
	return f, err
}

// agentProgram returns the path of the agent's executable: the one in the flags, the one beside agentlab, or a new
// build.
func (c *runCmd) agentProgram(ctx context.Context) (string, error) {
	if c.Bin != "" {
		return filepath.Abs(c.Bin)
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	if beside := filepath.Join(filepath.Dir(self), "chalkdoor"); isExecutable(beside) {
		return beside, nil
	}
	bin, err := filepath.Abs(filepath.Join(c.Out, "chalkdoor"))
	if err != nil {
		return "", err
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", bin, "chalkdoor.example/chalkdoor/cmd/chalkdoor")
	if text, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the agent: %w\n%s", err, text)
	}
	return bin, nil
}

func isExecutable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}

// newProgressBar returns a function that shows the progress of a run as a bar; nil if standard error is not a terminal.
func newProgressBar() func(string, float64) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	var bar *progressbar.ProgressBar
	current := ""
	return func(run string, done float64) {
		if run != current {
			current = run
			bar = progressbar.NewOptions(100, progressbar.OptionSetDescription(run),
				progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish())
		}
		_ = bar.Set(int(100 * done)) // the run doesn't depend on the display
	}
}

type listCmd struct{}

// Run lists the experiments.
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

// Run prints a report and regenerates its files.
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
	A string `name:"a" arg:"" help:"Folder of a report, or with a folder for each seed." type:"path"`
	B string `name:"b" arg:"" help:"Folder to compare it with." type:"path"`
}

// Run compares two reports, or two groups of them.
func (c *compareCmd) Run(out io.Writer) error {
	a, err := readReports(c.A)
	if err != nil {
		return err
	}
	b, err := readReports(c.B)
	if err != nil {
		return err
	}
	return report.Compare(out, a, b)
}

// readReports reads the report in a folder, or those in its folders of seeds.
func readReports(dir string) (all []*report.Report, err error) {
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
