package mutation

import (
	"context"
	"encoding/json"
	"io"
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

// Verdict is what became of a defect.
type Verdict int

// The verdicts.
const (
	Found       Verdict = iota
	NotFound            // the tests pass with the defect
	NotApplied          // its old text is not found exactly once
	NotBuilt            // the tree does not build with it
	Hung                // the tests did not end in time
	Interrupted         // the run was ended
)

// String is the verdict as it is printed.
func (v Verdict) String() string {
	return [...]string{"found", "NOT FOUND", "does not apply", "does not build", "hung", "interrupted"}[v]
}

// Result is the verdict on one defect.
type Result struct {
	Defect  Defect
	Verdict Verdict
	Tests   []string // that failed
	Took    time.Duration
	Output  string // of the tests
}

const (
	// buildWait is how much longer than its tests a run may take, for the build.
	buildWait = 4 * time.Minute
	// killWait bounds the wait for the output of a run that was ended.
	killWait = 5 * time.Second
	// maxOutput bounds the output that is kept of a run.
	maxOutput = 1 << 20
)

// CopyTree copies the files that git tracks or would track below root, as they are in the working
// tree, into a folder.
func CopyTree(ctx context.Context, root, to string) error {
	list := exec.CommandContext(ctx, "git", "ls-files", "-z", "--cached", "--others", "--exclude-standard", "--", ".", ":!journal")
	list.Dir = root
	raw, err := list.Output()
	if err != nil {
		return errors.Wrap(err, "list the tree's files with git")
	}
	for _, name := range strings.Split(strings.TrimRight(string(raw), "\x00"), "\x00") {
		if err := copyFile(filepath.Join(root, name), filepath.Join(to, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return errors.Wrap(err, "copy the tree")
		}
	}
	return nil
}

func copyFile(from, to string) error {
	source, err := os.Open(from)
	if err != nil {
		return err
	}
	defer source.Close()
	info, err := source.Stat()
	if err != nil || !info.Mode().IsRegular() {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	target, err := os.OpenFile(to, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, info.Mode().Perm())
	if err != nil {
		return err
	}
	if _, err := io.Copy(target, source); err != nil {
		_ = target.Close()
		return err
	}
	return target.Close()
}

// Player plays defects on a copy of the tree.
type Player struct {
	Tree  string        // the copy; it is not changed
	Dir   string        // of changed files
	Limit time.Duration // of one run of tests
	Jobs  int           // runs beside each other
}

// Sound runs the tests of all defects on the tree as it is: only a test that passes there finds
// anything.
func (p *Player) Sound(ctx context.Context, table []Defect) error {
	type suite struct{ packages, run string }
	var done []suite
	for _, d := range table {
		s := suite{strings.Join(d.Packages, " "), d.Run}
		if slices.Contains(done, s) {
			continue
		}
		done = append(done, s)
		if out, err := p.test(ctx, d, ""); err != nil || noTests(out) {
			return errors.Errorf("the tests %s of %s don't pass without the defect:\n%s", d.Run, s.packages, out)
		}
	}
	return nil
}

// Play plays each defect and tells each result as it comes, in any order.
func (p *Player) Play(ctx context.Context, table []Defect, tell func(Result)) {
	next := make(chan Defect)
	var players sync.WaitGroup
	var telling sync.Mutex
	for range max(1, p.Jobs) {
		players.Go(func() {
			for d := range next {
				r := p.one(ctx, d)
				telling.Lock()
				tell(r)
				telling.Unlock()
			}
		})
	}
	for _, d := range table {
		next <- d
	}
	close(next)
	players.Wait()
}

func (p *Player) one(ctx context.Context, d Defect) Result {
	begun := time.Now()
	result := func(v Verdict, out string) Result {
		return Result{Defect: d, Verdict: v, Tests: failed(out), Took: time.Since(begun), Output: out}
	}
	overlay, err := p.overlay(d)
	if err != nil {
		return result(NotApplied, err.Error())
	}
	out, err := p.test(ctx, d, overlay)
	switch {
	case ctx.Err() != nil:
		return result(Interrupted, out)
	case err == nil:
		return result(NotFound, out)
	case errors.Is(err, context.DeadlineExceeded) || strings.Contains(out, "panic: test timed out"):
		return result(Hung, out)
	case len(failed(out)) == 0 && !strings.Contains(out, "panic:"):
		return result(NotBuilt, out)
	}
	return result(Found, out)
}

// overlay writes the changed file of a defect, and the file that has go build it in place of the
// tree's.
func (p *Player) overlay(d Defect) (string, error) {
	text, err := d.Apply(p.Tree)
	if err != nil {
		return "", err
	}
	changed := filepath.Join(p.Dir, d.ID+".go.txt")
	if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
		return "", errors.Wrap(err, "write the changed file")
	}
	replace := map[string]map[string]string{"Replace": {filepath.Join(p.Tree, filepath.FromSlash(d.File)): changed}}
	raw, err := json.Marshal(replace)
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(p.Dir, d.ID+".json")
	if err := os.WriteFile(overlay, raw, 0o600); err != nil {
		return "", errors.Wrap(err, "write the overlay")
	}
	return overlay, nil
}

// test runs the tests of a defect. The processes that they start end with them.
func (p *Player) test(ctx context.Context, d Defect, overlay string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Limit+buildWait)
	defer cancel()
	args := []string{"test", "-count=1", "-vet=off", "-failfast", "-timeout", p.Limit.String(), "-run", d.Run}
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	cmd := exec.CommandContext(ctx, "go", append(args, d.Packages...)...)
	cmd.Dir = p.Tree
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = killWait
	out, err := cmd.CombinedOutput()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return string(out[max(0, len(out)-maxOutput):]), err
}

var failLine = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// failed are the tests that failed by the output of go test.
func failed(out string) (tests []string) {
	for _, m := range failLine.FindAllStringSubmatch(out, -1) {
		tests = append(tests, m[1])
	}
	return tests
}

// noTests tells whether a pattern named no test at all.
func noTests(out string) bool { return strings.Contains(out, "no tests to run") }
