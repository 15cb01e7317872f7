package logevent

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	require.NoError(t, err)
	require.Equal(t, Page(), string(page),
		"the page is outdated, generate it: go run ./cmd/edged events > docs/EVENTS.md")
}

func TestCatalogueIsSortedAndComplete(t *testing.T) {
	require.True(t, slices.IsSortedFunc(catalogue, func(a, b Event) int { return int(a.ID - b.ID) }))
	for _, event := range Catalogue() {
		require.NotEmpty(t, event.Message, "E%d", event.ID)
		require.NotEmpty(t, event.Meaning, "E%d", event.ID)
		require.NotEmpty(t, event.Action, "E%d", event.ID)
	}
}

// sourceFiles returns the source files, without tests, of the packages of this module that edged imports,
// except for logevent itself.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	output, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.Dir}}{{end}}",
		"chalkdoor.example/chalkdoor/cmd/edged").Output()
	require.NoError(t, err)
	root, err := filepath.Abs("../../..")
	require.NoError(t, err)
	var sources []string
	for dir := range strings.FieldsSeq(string(output)) {
		if !strings.HasPrefix(dir, root) || strings.HasSuffix(dir, "internal/fleet/logevent") {
			continue
		}
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		require.NoError(t, err)
		files = slices.DeleteFunc(files, func(file string) bool { return strings.HasSuffix(file, "_test.go") })
		sources = append(sources, files...)
	}
	require.NotEmpty(t, sources)
	return sources
}

// All packages of the daemon log through logevent, not through klog, so that every line has a number.
func TestEveryLogLineHasANumber(t *testing.T) {
	klogCall := regexp.MustCompile(`klog\.(V|Info|Warning|Error|Fatal)`)
	for _, file := range sourceFiles(t) {
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Empty(t, klogCall.FindAllString(string(source), -1), "%s logs without an event number", file)
	}
}

// TestGoldenAttributeKeys compares the attribute keys of all events with the golden file, because alerts
// match them.
func TestGoldenAttributeKeys(t *testing.T) {
	numbers := eventNumbers(t)
	var lines []string
	for _, file := range sourceFiles(t) {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		require.NoError(t, err)
		ast.Inspect(parsed, func(node ast.Node) bool {
			if line := loggedAttributes(node, numbers); line != "" {
				lines = append(lines, line)
			}
			return true
		})
	}
	slices.Sort(lines)
	goldentest.File(t, "attributes.txt", []byte(strings.Join(slices.Compact(lines), "\n")+"\n"))
}

// eventNumbers returns the number of each event, keyed by the name of its constant.
func eventNumbers(t *testing.T) map[string]string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	require.NoError(t, err)
	numbers := map[string]string{}
	ast.Inspect(parsed, func(node ast.Node) bool {
		if spec, ok := node.(*ast.ValueSpec); ok && len(spec.Values) == 1 {
			if number, ok := spec.Values[0].(*ast.BasicLit); ok && number.Kind == token.INT {
				numbers[spec.Names[0].Name] = number.Value
			}
		}
		return true
	})
	require.Len(t, numbers, len(catalogue))
	return numbers
}

// loggedAttributes returns the event number and the attribute keys of a call such as
// logevent.ViewDecided.Log("view", n), and "" for any other node.
func loggedAttributes(node ast.Node, numbers map[string]string) string {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return ""
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Log" && method.Sel.Name != "Error" {
		return ""
	}
	event, ok := method.X.(*ast.SelectorExpr)
	if !ok || numbers[event.Sel.Name] == "" {
		return ""
	}
	keys, err := attributeKeys(call.Args, method.Sel.Name == "Error")
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("E%s %s", numbers[event.Sel.Name], strings.Join(keys, " "))
}

// attributeKeys returns the attribute keys in the arguments of a call of Log or Error. hasError tells that the
// first argument is the error.
func attributeKeys(arguments []ast.Expr, hasError bool) (keys []string, err error) {
	if hasError {
		arguments = arguments[1:]
	}
	for i := 0; i < len(arguments); i += 2 {
		literal, ok := arguments[i].(*ast.BasicLit)
		if !ok {
			return nil, fmt.Errorf("the key in argument %d is not a literal", i)
		}
		key, err := strconv.Unquote(literal.Value)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
}
