package mutation

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Verdict is the outcome of a mutation's tests.
type Verdict int

// The verdicts. Only Killed is a success.
const (
	Killed        Verdict = iota // a test failed
	Survived                     // the tests pass with the mutation
	NotApplicable                // see ErrNotApplicable
	BuildFailed                  // the tree does not build with the mutation
	TimedOut                     // the tests did not end in time
	Interrupted                  // the context was canceled before the tests ended
)

// String returns the verdict as mutationtest prints it.
func (v Verdict) String() string {
	return [...]string{"found", "NOT FOUND", "does not apply", "does not build", "hung", "interrupted"}[v]
}

// Result is the verdict on one mutation.
type Result struct {
	Mutation    Mutation
	Verdict     Verdict
	FailedTests []string
	Elapsed     time.Duration // duration of the build and the tests
	Output      string        // the last maxOutputBytes of go test
}

const (
	// buildTimeout is the time limit of the build, which is added to that of the tests.
	buildTimeout = 4 * time.Minute
	// outputWaitDelay bounds the wait for the output of a run that was killed.
	outputWaitDelay = 5 * time.Second
	// maxOutputBytes is the maximum size of a Result's Output.
	maxOutputBytes = 1 << 20
)

// Runner runs the tests of mutations on a copy of the tree. Several mutations may run at once, as each is built with an
// overlay of one file (go build -overlay) and the copy does not change.
type Runner struct {
	Tree        string        // root of the copy
	OverlayDir  string        // directory for the mutated files and the overlays
	TestTimeout time.Duration // time limit of one run of tests, without the build
	Parallelism int           // number of runs at once; values below 1 count as 1
}

// CheckBaseline runs the tests of all mutations on the unchanged tree, because a test that fails there detects
// nothing. The error includes the output of the first run that fails or finds no test.
func (r *Runner) CheckBaseline(ctx context.Context, table []Mutation) error {
	type suite struct{ packages, pattern string }
	var checked []suite
	for _, m := range table {
		s := suite{strings.Join(m.Packages, " "), m.Tests}
		if slices.Contains(checked, s) {
			continue
		}
		checked = append(checked, s)
		if output, err := r.runTests(ctx, m, ""); err != nil || hasNoTests(output) {
			return errors.Errorf("the tests %s of %s don't pass without the mutation:\n%s", s.pattern, s.packages, output)
		}
	}
	return nil
}

// RunAll runs all mutations and reports each result as soon as it is known, so in any order. It never calls report
// concurrently.
func (r *Runner) RunAll(ctx context.Context, table []Mutation, report func(Result)) {
	queue := make(chan Mutation)
	var workers sync.WaitGroup
	var reportMu sync.Mutex
	for range max(1, r.Parallelism) {
		workers.Go(func() {
			for m := range queue {
				result := r.run(ctx, m)
				reportMu.Lock()
				report(result)
				reportMu.Unlock()
			}
		})
	}
	for _, m := range table {
		queue <- m
	}
	close(queue)
	workers.Wait()
}

// run applies one mutation and runs its tests.
func (r *Runner) run(ctx context.Context, m Mutation) Result {
	startedAt := time.Now()
	overlay, err := r.writeOverlay(m)
	if err != nil {
		return Result{Mutation: m, Verdict: NotApplicable, Elapsed: time.Since(startedAt), Output: err.Error()}
	}
	output, err := r.runTests(ctx, m, overlay)
	verdict := verdictOf(output, err)
	if ctx.Err() != nil {
		verdict = Interrupted
	}
	return Result{Mutation: m, Verdict: verdict, FailedTests: failedTests(output), Elapsed: time.Since(startedAt), Output: output}
}

// verdictOf derives the verdict from the output and the error of go test.
func verdictOf(output string, err error) Verdict {
	switch {
	case err == nil:
		return Survived
	case errors.Is(err, context.DeadlineExceeded) || strings.Contains(output, "panic: test timed out"):
		return TimedOut
	case len(failedTests(output)) == 0 && !strings.Contains(output, "panic:"):
		return BuildFailed
	}
	return Killed
}

// writeOverlay writes the mutated file and the overlay that makes go build use it instead of the original. It returns
// the path of the overlay.
func (r *Runner) writeOverlay(m Mutation) (string, error) {
	mutated, err := m.Apply(r.Tree)
	if err != nil {
		return "", err
	}
	mutatedFile := filepath.Join(r.OverlayDir, m.ID+".go.txt")
	if err := os.WriteFile(mutatedFile, []byte(mutated), 0o600); err != nil {
		return "", errors.Wrap(err, "write the mutated file")
	}
	replace := map[string]map[string]string{"Replace": {filepath.Join(r.Tree, filepath.FromSlash(m.File)): mutatedFile}}
	encoded, err := json.Marshal(replace)
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(r.OverlayDir, m.ID+".json")
	if err := os.WriteFile(overlay, encoded, 0o600); err != nil {
		return "", errors.Wrap(err, "write the overlay")
	}
	return overlay, nil
}

// runTests runs the tests of a mutation with an overlay, or on the unchanged tree if overlay is "". If they don't end
// in time, it kills them and the processes that they started, and returns the error of the context.
func (r *Runner) runTests(ctx context.Context, m Mutation, overlay string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, r.TestTimeout+buildTimeout)
	defer cancel()
	args := []string{"test", "-count=1", "-vet=off", "-failfast", "-timeout", r.TestTimeout.String(), "-run", m.Tests}
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	cmd := exec.CommandContext(ctx, "go", append(args, m.Packages...)...)
	cmd.Dir = r.Tree
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = outputWaitDelay
	output, err := cmd.CombinedOutput()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return string(output[max(0, len(output)-maxOutputBytes):]), err
}

var failLine = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// failedTests returns the names of the tests that failed according to the output of go test.
func failedTests(output string) (tests []string) {
	for _, match := range failLine.FindAllStringSubmatch(output, -1) {
		tests = append(tests, match[1])
	}
	return tests
}

// hasNoTests reports whether the output of go test says that the pattern matched no test in a package.
func hasNoTests(output string) bool { return strings.Contains(output, "no tests to run") }
