package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// wallClockMethods are the methods of time.Time that read the wall clock or drop the monotonic clock reading.
// Round and Truncate are not among them, as durations and files have methods of these names.
var wallClockMethods = map[string]bool{
	"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "UTC": true, "Local": true, "AddDate": true,
	"Weekday": true, "YearDay": true, "AppendFormat": true, "GobEncode": true, "MarshalBinary": true,
}

// wallClockUses returns the positions where a file uses the wall clock: calls of wallClockMethods and encoded fields
// of type time.Time.
func wallClockUses(files *token.FileSet, file *ast.File) (uses []string) {
	report := func(node ast.Node, use string) {
		uses = append(uses, files.Position(node.Pos()).String()+": "+use)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.CallExpr:
			called, ok := node.Fun.(*ast.SelectorExpr)
			if !ok || !wallClockMethods[called.Sel.Name] {
				break
			}
			if _, isConstructor := called.X.(*ast.Ident); isConstructor && len(node.Args) > 0 {
				break // time.Unix(0, 0) is a fixed time
			}
			report(node, called.Sel.Name)
		case *ast.Field:
			if node.Tag != nil && isTime(node.Type) && isEncoded(node.Tag.Value) {
				report(node, "an encoded time")
			}
		}
		return true
	})
	return uses
}

// isTime reports whether a type is time.Time or a pointer to it.
func isTime(expr ast.Expr) bool {
	if pointer, ok := expr.(*ast.StarExpr); ok {
		expr = pointer.X
	}
	selector, ok := expr.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	pkg, ok := selector.X.(*ast.Ident)
	return ok && pkg.Name == "time" && selector.Sel.Name == "Time"
}

// isEncoded reports whether a struct tag names a field's key in an encoding.
func isEncoded(tag string) bool {
	parsed := reflect.StructTag(strings.Trim(tag, "`"))
	return parsed.Get("msgpack") != "" || parsed.Get("json") != ""
}

// TestFleetReadsNoWallClock checks that no program of the fleet reads the wall clock, so that jumps of a machine's
// clock have no effect. Processes send each other durations and versions only.
func TestFleetReadsNoWallClock(t *testing.T) {
	files, checked := token.NewFileSet(), 0
	err := filepath.WalkDir(filepath.Join("..", "..", "fleet"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		checked++
		assert.Empty(t, wallClockUses(files, file))
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, checked, 200, "number of files in internal/fleet")
}

func TestWallClockUsesAreFound(t *testing.T) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, "a.go", `package a
type message struct {
	At time.Time `+"`msgpack:\"a\"`"+`
	Kept time.Time
}
func f() int64 { return time.Now().UnixMilli() }
func g() time.Time { return time.Unix(0, 0).Add(1) }
func h(at time.Time) time.Time { return at.UTC() }
`, parser.SkipObjectResolution)
	require.NoError(t, err)
	assert.Equal(t, []string{"a.go:3:2: an encoded time", "a.go:6:25: UnixMilli", "a.go:8:41: UTC"}, wallClockUses(files, file))
}
