package logevent

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPageIsOfTheTable(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	require.NoError(t, err)
	require.Equal(t, Page(), string(page), "write it anew: go run ./cmd/edged events > docs/EVENTS.md")
}

func TestNumbersRise(t *testing.T) {
	require.True(t, slices.IsSortedFunc(catalogue, func(a, b Event) int { return int(a.ID - b.ID) }))
	for _, e := range catalogue {
		require.NotEmpty(t, e.Message, "E%d", e.ID)
		require.NotEmpty(t, e.Action, "E%d", e.ID)
	}
}

// What the programs of the system log is in the catalogue: none of their packages logs by klog itself.
func TestAllIsLoggedByNumber(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.Dir}}{{end}}", "chalkdoor.example/chalkdoor/cmd/edged").Output()
	require.NoError(t, err)
	root, err := filepath.Abs("../../..")
	require.NoError(t, err)
	direct := regexp.MustCompile(`klog\.(V|Info|Warning|Error|Fatal)`)
	for dir := range strings.FieldsSeq(string(out)) {
		if !strings.HasPrefix(dir, root) || strings.HasSuffix(dir, "internal/fleet/logevent") {
			continue
		}
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		require.NoError(t, err)
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			src, err := os.ReadFile(f)
			require.NoError(t, err)
			require.Empty(t, direct.FindAllString(string(src), -1), "%s logs without a number", f)
		}
	}
}
