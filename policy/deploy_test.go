package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// maxLineWidth is the width of the longest line of this package, a tab counted as four characters.
const maxLineWidth = 110

// undecidingFiles hold the interface and its documentation; every other file of this package decides.
var undecidingFiles = []string{"policy/doc.go", "policy/events.go", "policy/settings.go", "policy/stats.go"}

// sourceFiles lists this package's files without its tests, by their paths from the root.
func sourceFiles(t *testing.T) (names []string) {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no files: %v", err)
	}
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") {
			names = append(names, "policy/"+path)
		}
	}
	return names
}

// The deploy file's policy key names the files that hold the decisions: all of them, each once, and nothing
// that is not there.
func TestDeployFileNamesEveryDecisionFile(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	key := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if key == nil {
		t.Fatal("deploy/balancer.toml has no policy key")
	}
	var named []string
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(string(key[1]), -1) {
		named = append(named, name[1])
	}
	decisions := slices.DeleteFunc(sourceFiles(t),
		func(name string) bool { return slices.Contains(undecidingFiles, name) })
	slices.Sort(named)
	if !slices.Equal(named, decisions) {
		t.Errorf("the deploy file names %v, want %v", named, decisions)
	}
}

func TestLineWidth(t *testing.T) {
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxLineWidth {
				t.Errorf("%s:%d is %d characters wide, at most %d", name, i+1, width, maxLineWidth)
			}
		}
	}
}
