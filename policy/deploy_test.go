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

// interfaceFiles hold the interface and its documentation. All other files of this package make decisions.
var interfaceFiles = []string{"policy/doc.go", "policy/events.go", "policy/settings.go", "policy/stats.go"}

// sourceFiles returns the paths from the root of this package's files, without its tests.
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

// The policy key of the deploy file lists each file that makes decisions exactly once, and no other file.
func TestDeployFileNamesEveryDecisionFile(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	key := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if key == nil {
		t.Fatal("deploy/balancer.toml has no policy key")
	}
	var listed []string
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(string(key[1]), -1) {
		listed = append(listed, name[1])
	}
	want := slices.DeleteFunc(sourceFiles(t),
		func(name string) bool { return slices.Contains(interfaceFiles, name) })
	slices.Sort(listed)
	if !slices.Equal(listed, want) {
		t.Errorf("the deploy file lists %v, want %v", listed, want)
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
