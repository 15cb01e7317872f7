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

// root is the root of the tree.
const root = "../../.."

// Each defect applies to the tree as it is, in exactly one place, and names tests that are there.
func TestTableAppliesToTheTree(t *testing.T) {
	ids := map[string]bool{}
	for _, d := range Table {
		_, err := d.Apply(root)
		assert.NoError(t, err)
		assert.False(t, ids[d.ID], "two defects are called %s", d.ID)
		ids[d.ID] = true
		assert.True(t, d.Point >= CutOff && d.Point <= OneAnswer, d.ID)
		assert.NotEmpty(t, d.Packages, d.ID)
		for _, name := range testNames(d.Run) {
			found := false
			for _, p := range d.Packages {
				found = found || hasTest(t, filepath.Join(root, p), name)
			}
			assert.True(t, found, "%s names %s, which is not there", d.ID, name)
		}
	}
	assert.GreaterOrEqual(t, len(Table), 40)
}

// testNames are the whole names that a pattern of the table is made of.
func testNames(run string) (names []string) {
	for _, part := range strings.Split(run, "|") {
		if name, whole := strings.CutSuffix(strings.TrimPrefix(part, "^"), "$"); whole {
			names = append(names, name)
		}
	}
	return names
}

// hasTest tells whether a package's test files declare a test.
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

// tree is a module of one package whose tests find some defects of it.
func tree(t *testing.T) string {
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

func player(t *testing.T) *Player {
	t.Helper()
	p := &Player{Tree: filepath.Join(t.TempDir(), "tree"), Dir: t.TempDir(), Limit: 5 * time.Second, Jobs: 2}
	require.NoError(t, CopyTree(t.Context(), tree(t), p.Tree))
	return p
}

func TestVerdicts(t *testing.T) {
	p := player(t)
	require.NoFileExists(t, filepath.Join(p.Tree, "ignored"))
	entry := func(id, before, after string) Defect {
		return Defect{ID: id, Point: Races, File: "one.go", Old: before, New: after, Packages: []string{"."}, Run: "^TestTwo$"}
	}
	table := []Defect{
		entry("found", "1 + 1", "1 + 2"),
		entry("harmless", "7", "8"),
		entry("absent", "nothing of that kind", ""),
		entry("ambiguous", "return", "return 1 +"),
		entry("broken", "1 + 1", "1 +"),
		entry("endless", "{ return 1 + 1 }", "{ select {} }"),
	}
	p.Limit = 2 * time.Second
	got := map[string]Verdict{}
	p.Play(t.Context(), table, func(r Result) { got[r.Defect.ID] = r.Verdict })
	assert.Equal(t, map[string]Verdict{"found": Found, "harmless": NotFound, "absent": NotApplied, "ambiguous": NotApplied,
		"broken": NotBuilt, "endless": Hung}, got)
	raw, err := os.ReadFile(filepath.Join(p.Tree, "one.go"))
	require.NoError(t, err)
	assert.Contains(t, string(raw), "1 + 1", "the copy stays as it is")

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	p.Play(ended, table[:1], func(r Result) { assert.Equal(t, Interrupted, r.Verdict) })
}

// Only a test that passes on the sound tree finds anything.
func TestSound(t *testing.T) {
	p := player(t)
	entry := Defect{ID: "any", File: "one.go", Old: "1 + 1", New: "1 + 2", Packages: []string{"."}}
	for run, want := range map[string]bool{"^TestTwo$": true, "^TestBroken$": false, "^TestAbsent$": false} {
		entry.Run = run
		assert.Equal(t, want, p.Sound(t.Context(), []Defect{entry}) == nil, run)
	}
}
