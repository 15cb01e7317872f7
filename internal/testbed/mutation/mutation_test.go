package mutation

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// root is the root of the repository.
const root = "../../.."

// TestTableAppliesToTheTree checks that each mutation applies to the repository in exactly one place and names existing
// tests.
func TestTableAppliesToTheTree(t *testing.T) {
	ids := map[string]bool{}
	for _, m := range Table {
		_, err := m.Apply(root)
		assert.NoError(t, err)
		assert.False(t, ids[m.ID], "two mutations have the ID %s", m.ID)
		ids[m.ID] = true
		assert.True(t, m.Category >= StaleState && m.Category <= CallMatching, m.ID)
		assert.NotEmpty(t, m.Packages, m.ID)
		for _, name := range anchoredTestNames(m.Tests) {
			found := false
			for _, p := range m.Packages {
				found = found || hasTest(t, filepath.Join(root, p), name)
			}
			assert.True(t, found, "%s names %s, which does not exist", m.ID, name)
		}
	}
	assert.GreaterOrEqual(t, len(Table), 40)
}

// anchoredTestNames returns the complete test names in a pattern of the table.
func anchoredTestNames(pattern string) (names []string) {
	for _, alternative := range strings.Split(pattern, "|") {
		if name, anchored := strings.CutSuffix(strings.TrimPrefix(alternative, "^"), "$"); anchored {
			names = append(names, name)
		}
	}
	return names
}

// hasTest reports whether the test files of a directory declare a test of the given name.
func hasTest(t *testing.T, dir, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	require.NoError(t, err)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		if strings.Contains(string(raw), "\nfunc "+name+"(t *testing.T)") {
			return true
		}
	}
	return false
}

// newModule creates a module of one package, whose tests detect some mutations of it, and returns its directory.
func newModule(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"go.mod": "module example.org/one\n\ngo 1.26\n",
		"one.go": "package one\n\nfunc two() int { return 1 + 1 }\n\nfunc idle() int { return 7 }\n",
		"one_test.go": "package one\n\nimport \"testing\"\n\nfunc TestTwo(t *testing.T) {\n\tif two() != 2 {\n\t\tt.Fatal(\"not two\")\n\t}\n}\n\n" +
			"func TestBroken(t *testing.T) { t.Fatal(\"always\") }\n",
		".gitignore": "ignored\n",
		"ignored":    "not copied",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	require.NoError(t, exec.Command("git", "-C", dir, "init", "-q").Run())
	return dir
}

func newRunner(t *testing.T) *Runner {
	t.Helper()
	runner := &Runner{Tree: filepath.Join(t.TempDir(), "tree"), OverlayDir: t.TempDir(), TestTimeout: 5 * time.Second, Parallelism: 2}
	require.NoError(t, CopyTree(t.Context(), newModule(t), runner.Tree))
	return runner
}

func TestVerdicts(t *testing.T) {
	runner := newRunner(t)
	require.NoFileExists(t, filepath.Join(runner.Tree, "ignored"))
	entry := func(id, before, after string) Mutation {
		return Mutation{ID: id, Category: UpdateConflicts, File: "one.go", Old: before, New: after, Packages: []string{"."}, Tests: "^TestTwo$"}
	}
	table := []Mutation{
		entry("found", "1 + 1", "1 + 2"),
		entry("harmless", "7", "8"),
		entry("absent", "nothing of that kind", ""),
		entry("ambiguous", "return", "return 1 +"),
		entry("broken", "1 + 1", "1 +"),
		entry("endless", "{ return 1 + 1 }", "{ select {} }"),
	}
	runner.TestTimeout = 2 * time.Second
	got := map[string]Verdict{}
	runner.RunAll(t.Context(), table, func(r Result) { got[r.Mutation.ID] = r.Verdict })
	assert.Equal(t, map[string]Verdict{"found": Killed, "harmless": Survived, "absent": NotApplicable, "ambiguous": NotApplicable,
		"broken": BuildFailed, "endless": TimedOut}, got)
	raw, err := os.ReadFile(filepath.Join(runner.Tree, "one.go"))
	require.NoError(t, err)
	assert.Contains(t, string(raw), "1 + 1", "the copy was changed")

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	runner.RunAll(ended, table[:1], func(r Result) { assert.Equal(t, Interrupted, r.Verdict) })
}

// TestCheckBaseline checks that a mutation's tests must exist and pass on the unchanged tree.
func TestCheckBaseline(t *testing.T) {
	runner := newRunner(t)
	entry := Mutation{ID: "any", File: "one.go", Old: "1 + 1", New: "1 + 2", Packages: []string{"."}}
	for pattern, want := range map[string]bool{"^TestTwo$": true, "^TestBroken$": false, "^TestAbsent$": false} {
		entry.Tests = pattern
		assert.Equal(t, want, runner.CheckBaseline(t.Context(), []Mutation{entry}) == nil, pattern)
	}
}
