// Package docscheck checks that the pages under docs/ name only code that exists, and that the fleet's programs read no
// wall clock.
package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// root is the root of the repository.
const root = "../../.."

// checkedPages are the pages whose references must resolve. ROADMAP and INCIDENTS describe earlier code.
var checkedPages = []string{
	"README.md", "docs/ARCHITECTURE.md", "docs/CAPACITY.md", "docs/CONTROL.md", "docs/DESIGN.md", "docs/EVENTS.md",
	"docs/FLEET.md", "docs/GLOSSARY.md", "docs/LABORATORY.md", "docs/OPERATING.md", "docs/ROLLOUT.md", "docs/RULES.md",
}

var (
	fencedBlock     = regexp.MustCompile("(?s)```.*?```")
	codeSpan        = regexp.MustCompile("`([^`\n]+)`")
	qualifiedName   = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z_]\w*)(?:\.([A-Za-z_]\w*))?(?:\(\))?$`)
	testName        = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	sourceFile      = regexp.MustCompile(`^[\w./-]*\w\.go$`)
	repositoryPath  = regexp.MustCompile(`\b(?:internal|cmd)/[a-z0-9][a-z0-9/]*`)
	fileWithNames   = regexp.MustCompile("`([\\w/]+\\.go)`: ((?:`\\w+`(?:, )?)+)")
	settingsOrFiles = map[string]bool{"toml": true, "md": true, "json": true, "txt": true, "go": true, "damaged": true, "days": true}
)

// settingsPrefixes are the first parts of keys, in the operations file and in a rollout's specification, that look like
// qualified names.
var settingsPrefixes = map[string]bool{"site": true, "state": true, "council": true, "keep": true, "judge": true}

// declarations are the names that all packages of one name declare.
type declarations map[string]bool

// index has what the source files of the tree declare.
type index struct {
	packages map[string]declarations // by the name of the package
	tests    map[string]bool         // names of tests, fuzz tests and benchmarks
	files    []string                // paths relative to root
}

func TestReferencesOfPagesResolve(t *testing.T) {
	tree := readTree(t)
	for _, page := range checkedPages {
		t.Run(filepath.Base(page), func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(root, page))
			require.NoError(t, err)
			for _, problem := range tree.unresolved(string(text)) {
				t.Errorf("%s: %s", page, problem)
			}
		})
	}
}

// unresolved returns a problem for each reference of a page that does not resolve.
func (x *index) unresolved(page string) []string {
	var problems []string
	page = fencedBlock.ReplaceAllString(page, "")
	for _, name := range testName.FindAllString(page, -1) {
		if !x.hasTest(name) {
			problems = append(problems, "there is no test "+name)
		}
	}
	for _, path := range repositoryPath.FindAllString(page, -1) {
		if _, err := os.Stat(filepath.Join(root, strings.TrimSuffix(path, "/"))); err != nil {
			if matches, _ := filepath.Glob(filepath.Join(root, path+"*")); len(matches) == 0 {
				problems = append(problems, "there is no path "+path)
			}
		}
	}
	for _, reference := range fileWithNames.FindAllStringSubmatch(page, -1) {
		problems = append(problems, x.checkNamesOfFile(reference[1], reference[2])...)
	}
	for _, span := range codeSpan.FindAllStringSubmatch(page, -1) {
		if problem := x.checkSpan(span[1]); problem != "" {
			problems = append(problems, problem)
		}
	}
	return problems
}

// hasTest reports whether there is a test whose name is, or begins with, the given one.
func (x *index) hasTest(name string) bool {
	if x.tests[name] {
		return true
	}
	for known := range x.tests { // a page may name a family of tests: "the tests TestProgressIs..."
		if strings.HasPrefix(known, name) {
			return true
		}
	}
	return false
}

// checkSpan returns the problem of a code span; "" if it resolves or is no reference.
func (x *index) checkSpan(span string) string {
	if sourceFile.MatchString(span) {
		for _, file := range x.files {
			if file == span || strings.HasSuffix(file, "/"+span) {
				return ""
			}
		}
		return "there is no file " + span
	}
	parts := qualifiedName.FindStringSubmatch(span)
	if parts == nil || settingsOrFiles[parts[2]] {
		return ""
	}
	declared, ok := x.packages[parts[1]]
	if !ok {
		if settingsPrefixes[parts[1]] {
			return ""
		}
		return "there is no package " + parts[1] + " for " + span
	}
	name := parts[2]
	if parts[3] != "" {
		name += "." + parts[3]
	}
	if !declared[name] {
		return "there is no " + name + " in package " + parts[1]
	}
	return ""
}

// checkNamesOfFile checks the names, each in backquotes, that a page lists after a file.
func (x *index) checkNamesOfFile(file, names string) []string {
	declared := x.packages[filepath.Base(filepath.Dir(file))]
	var problems []string
	for _, name := range codeSpan.FindAllStringSubmatch(names, -1) {
		if declared != nil && !declared[name[1]] {
			problems = append(problems, "there is no "+name[1]+" in the package of "+file)
		}
	}
	return problems
}

func readTree(t *testing.T) *index {
	t.Helper()
	x := &index{packages: map[string]declarations{}, tests: map[string]bool{}}
	for _, folder := range []string{"cmd", "internal", "policy", "experiments"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			return x.read(path)
		})
		require.NoError(t, err)
	}
	return x
}

func (x *index) read(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return err
	}
	x.files = append(x.files, relative)
	name := strings.TrimSuffix(file.Name.Name, "_test")
	if x.packages[name] == nil {
		x.packages[name] = declarations{}
	}
	for _, declaration := range file.Decls {
		x.add(x.packages[name], declaration)
	}
	return nil
}

func (x *index) add(into declarations, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		into[d.Name.Name] = true
		if d.Recv != nil && len(d.Recv.List) > 0 {
			into[receiverName(d.Recv.List[0].Type)+"."+d.Name.Name] = true
		}
		if testName.MatchString(d.Name.Name) {
			x.tests[d.Name.Name] = true
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			addSpec(into, spec)
		}
	}
}

func addSpec(into declarations, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			into[name.Name] = true
		}
	case *ast.TypeSpec:
		into[s.Name.Name] = true
		switch kind := s.Type.(type) {
		case *ast.StructType:
			addFields(into, s.Name.Name, kind.Fields)
		case *ast.InterfaceType:
			addFields(into, s.Name.Name, kind.Methods)
		}
	}
}

func addFields(into declarations, typeName string, fields *ast.FieldList) {
	for _, field := range fields.List {
		for _, name := range field.Names {
			into[typeName+"."+name.Name] = true
		}
	}
}

// receiverName returns the type name of a method's receiver.
func receiverName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return receiverName(e.X)
	case *ast.IndexExpr:
		return receiverName(e.X)
	case *ast.IndexListExpr:
		return receiverName(e.X)
	case *ast.Ident:
		return e.Name
	default:
		return ""
	}
}

// TestGlossaryNamesPackages checks that the packages in the last cell of each row of the glossary exist. These are the
// packages that use the row's term.
func TestGlossaryNamesPackages(t *testing.T) {
	tree := readTree(t)
	text, err := os.ReadFile(filepath.Join(root, "docs/GLOSSARY.md"))
	require.NoError(t, err)
	rows := 0
	for line := range strings.Lines(string(text)) {
		packages := packageCells(line)
		rows += min(len(packages), 1)
		for _, name := range packages {
			require.Contains(t, tree.packages, name, "%s", line)
		}
	}
	require.Greater(t, rows, 50, "rows with a package")
}

// packageCells returns the names in backquotes in the last cell of a table's row; none if the line is not such a row.
func packageCells(line string) []string {
	cells := strings.Split(strings.TrimSpace(line), "|")
	if len(cells) < 4 {
		return nil
	}
	var names []string
	for _, name := range codeSpan.FindAllStringSubmatch(cells[len(cells)-2], -1) {
		names = append(names, name[1])
	}
	return names
}
