// Package report holds the result of an experiment. It writes it as JSON for programs and as Markdown and
// plots for people, and compares groups of reports. A play is one run of the experiment's load.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Version is the version of the JSON format. A report of another version is not read.
const Version = 1

// maxReport is the maximum size in bytes of a report that is read.
const maxReport = 64 << 20

// Second has the results of the requests that were planned for one second.
type Second struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Gone    int     `json:"gone"`   // number of requests whose client left early
	Worth   float64 `json:"worth"`  // total value of the requests, without those whose client left
	Earned  float64 `json:"earned"` // the part of Worth that was served
	// P50 to P999 are percentiles of the latency in ms of all served and late answers, from the planned
	// time of the request.
	P50       float64 `json:"p50_ms"`
	P90       float64 `json:"p90_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	Attempts  int     `json:"attempts"`   // number of attempts at report servers
	CrossZone int     `json:"cross_zone"` // number of those attempts that cross zones
}

// Play is one run of the load, either through the agents or through a baseline.
type Play struct {
	Name    string             `json:"name"`
	Seconds []Second           `json:"seconds"`
	Figures map[string]float64 `json:"figures"`
}

// Span is the period of a fault, in time since the start of the load.
type Span struct {
	Kind string        `json:"kind"`
	From time.Duration `json:"from_ns"`
	To   time.Duration `json:"to_ns"`
}

// Claim is a claim about a figure with its result.
type Claim struct {
	Text  string  `json:"text"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	Kept  bool    `json:"kept"`
}

// Report is the result of a whole experiment.
type Report struct {
	Version    int           `json:"version"`
	Name       string        `json:"name"`
	About      string        `json:"about"`
	Seed       uint64        `json:"seed"`
	Quick      bool          `json:"quick"`
	Agents     int           `json:"agents"`
	Servers    int           `json:"servers"`
	Zones      []string      `json:"zones"`
	Rate       float64       `json:"rate_per_s"`
	Warmup     time.Duration `json:"warmup_ns"`
	Plays      []Play        `json:"plays"` // the first one is through the agents
	Faults     []Span        `json:"faults"`
	Violations []string      `json:"violations"`
	Crashes    []string      `json:"crashes"`
	Claims     []Claim       `json:"claims"`
	// Ceiling is the number of requests a second that the testbed carries without agents. SendDelayP99 is the
	// 99th percentile in ms of the delay with which it sent requests. Void says why the result is
	// invalid; empty if it is valid.
	Ceiling      float64 `json:"ceiling_per_s"`
	SendDelayP99 float64 `json:"behind_p99_ms"`
	Void         string  `json:"void"`
}

// Failed describes the first reason why the experiment failed, in this order: a void result, a broken rule,
// a crash, a claim that does not hold. It returns "" if the experiment passed.
func (r *Report) Failed() string {
	switch {
	case r.Void != "":
		return "void, " + r.Void
	case len(r.Violations) > 0:
		return "a rule was broken, " + strings.SplitN(r.Violations[0], "\n", 2)[0]
	case len(r.Crashes) > 0:
		return "an agent crashed, " + r.Crashes[0]
	}
	for _, c := range r.Claims {
		if !c.Kept {
			return c.Text
		}
	}
	return ""
}

// Write writes report.json, report.md and the plots into a directory.
func (r *Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	plots, err := r.plots(dir)
	if err != nil {
		return err
	}
	var md strings.Builder
	r.Markdown(&md)
	for _, p := range plots {
		fmt.Fprintf(&md, "\n![%s](%s)\n", strings.TrimSuffix(p, ".svg"), p)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(md.String()), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// Read reads a report, from a directory that contains report.json or from the path of a JSON file.
func Read(path string) (*Report, error) {
	if !strings.HasSuffix(path, ".json") {
		path = filepath.Join(path, "report.json")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	defer f.Close()
	var r Report
	if err := json.NewDecoder(io.LimitReader(f, maxReport)).Decode(&r); err != nil {
		return nil, fmt.Errorf("report: %s: %w", path, err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("report: %s: version %d, want %d", path, r.Version, Version)
	}
	return &r, nil
}

// Markdown writes the report as Markdown, without plots.
func (r *Report) Markdown(w io.Writer) {
	form := "in full"
	if r.Quick {
		form = "in short form"
	}
	fmt.Fprintf(w, "# %s\n\n%s\n\n", r.Name, r.About)
	fmt.Fprintf(w, "Played %s with seed %d: %d agents, %d report servers in %d zones, %.0f requests a second.\n",
		form, r.Seed,
		r.Agents, r.Servers, len(r.Zones), r.Rate)
	fmt.Fprintf(w, "The laboratory carries %.0f requests a second by itself and sent 99 of 100 within %.1f ms of their time.\n",
		r.Ceiling, r.SendDelayP99)
	if r.Void != "" {
		fmt.Fprintf(w, "\n**Void: %s.**\n", r.Void)
	}
	fmt.Fprintf(w, "\n## Claims\n\n| claim | figure | kept |\n| --- | --- | --- |\n")
	fmt.Fprintf(w, "| the four rules are kept | %d broken | %s |\n| no agent crashes | %d crashed | %s |\n",
		len(r.Violations),
		yes(len(r.Violations) == 0), len(r.Crashes), yes(len(r.Crashes) == 0))
	for _, c := range r.Claims {
		fmt.Fprintf(w, "| %s | %s | %s |\n", c.Text, number(c.Value), yes(c.Kept))
	}
	fmt.Fprintf(w, "\n## Figures\n\nAfter the first %v; times in ms from when a request was meant to be sent.\n\n| figure |",
		r.Warmup)
	var names []string
	for _, p := range r.Plays {
		fmt.Fprintf(w, " %s |", p.Name)
		for name := range p.Figures {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	fmt.Fprintf(w, "\n| --- |%s\n", strings.Repeat(" --- |", len(r.Plays)))
	for _, name := range names {
		fmt.Fprintf(w, "| %s |", name)
		for _, p := range r.Plays {
			if v, ok := p.Figures[name]; ok {
				fmt.Fprintf(w, " %s |", number(v))
			} else {
				fmt.Fprint(w, " |")
			}
		}
		fmt.Fprintln(w)
	}
	if len(r.Faults) > 0 {
		fmt.Fprintf(w, "\n## Faults\n\n")
		for _, f := range r.Faults {
			fmt.Fprintf(w, "- %s from %v to %v\n", f.Kind, f.From, f.To)
		}
	}
	for i, v := range r.Violations {
		if i == 0 {
			fmt.Fprintf(w, "\n## Broken rules\n")
		}
		if i == 20 {
			fmt.Fprintf(w, "\nand %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "\n```\n%s\n```\n", v)
	}
	for _, c := range r.Crashes {
		fmt.Fprintf(w, "\nCrash: %s\n", c)
	}
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "**no**"
}

// number formats a figure with a precision that suits its magnitude.
func number(v float64) string {
	switch a := math.Abs(v); {
	case v == math.Trunc(v) && a < 1e9:
		return fmt.Sprintf("%.0f", v)
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.4f", v)
}

// Compare writes a table that compares two groups of reports: the mean of each figure in each group, the
// difference, and its noise, which is twice the standard error of the difference.
func Compare(w io.Writer, a, b []*Report) error {
	if len(a) == 0 || len(b) == 0 {
		return fmt.Errorf("report: nothing to compare")
	}
	for _, r := range append(slices.Clone(a), b...) {
		if r.Name != a[0].Name || r.Quick != a[0].Quick {
			return fmt.Errorf("report: %s and %s differ in experiment or form", a[0].Name, r.Name)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "figure\tA (%d)\tB (%d)\tB - A\tnoise\t\t\n", len(a), len(b))
	var names []string
	for name := range a[0].Plays[0].Figures {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		ma, sa := meanAndDeviation(a, name)
		mb, sb := meanAndDeviation(b, name)
		noise, verdict := "?", ""
		if len(a) > 1 && len(b) > 1 {
			bound := 2 * math.Sqrt(sa*sa/float64(len(a))+sb*sb/float64(len(b)))
			noise = number(bound)
			if math.Abs(mb-ma) > bound {
				verdict = "differs"
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t\n", name, number(ma), number(mb), number(mb-ma), noise, verdict)
	}
	return t.Flush()
}

// meanAndDeviation returns the mean and the standard deviation of a figure over reports.
func meanAndDeviation(reports []*Report, name string) (mean, sd float64) {
	for _, r := range reports {
		mean += r.Plays[0].Figures[name] / float64(len(reports))
	}
	if len(reports) < 2 {
		return mean, 0
	}
	for _, r := range reports {
		d := r.Plays[0].Figures[name] - mean
		sd += d * d / float64(len(reports)-1)
	}
	return mean, math.Sqrt(sd)
}
