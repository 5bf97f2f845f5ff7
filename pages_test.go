package citronstream_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sources has the names and texts in the Go sources, by directory below internal.
type sources struct {
	types, tests map[string][]string
	texts        map[string]bool // string literals outside of tests
}

func parseSources(t *testing.T) sources {
	src := sources{make(map[string][]string), make(map[string][]string), make(map[string]bool)}
	require.NoError(t, filepath.WalkDir("internal", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		dir, _ := filepath.Rel("internal", filepath.Dir(path))
		ast.Inspect(file, func(node ast.Node) bool { return src.add(dir, strings.HasSuffix(path, "_test.go"), node) })
		return nil
	}))
	return src
}

func (src sources) add(dir string, test bool, node ast.Node) bool {
	switch node := node.(type) {
	case *ast.FuncDecl:
		if test {
			src.tests[dir] = append(src.tests[dir], node.Name.Name)
		}
	case *ast.TypeSpec:
		src.types[dir] = append(src.types[dir], node.Name.Name)
	case *ast.BasicLit:
		if text, err := strconv.Unquote(node.Value); err == nil && !test {
			src.texts[text] = true
		}
	}
	return true
}

// tableRows returns the cells of the rows of all tableRows between two lines of a page.
func tableRows(t *testing.T, name, from, to string) [][]string {
	raw, err := os.ReadFile(filepath.Join("docs", name))
	require.NoError(t, err)
	_, text, ok := strings.Cut(string(raw), "\n"+from)
	require.True(t, ok, from)
	if to != "" {
		text, _, ok = strings.Cut(text, "\n"+to)
		require.True(t, ok, to)
	}
	var rows [][]string
	for _, line := range regexp.MustCompile(`(?m)^\| (.*) \|$`).FindAllStringSubmatch(text, -1) {
		rows = append(rows, strings.Split(line[1], " | "))
	}
	require.Greater(t, len(rows), 5, from)
	return rows[1:]
}

// Guards against a design page that names a module, type or test that does
// not exist, and against a module that it omits.
func TestDesignPage(t *testing.T) {
	src, listed := parseSources(t), make(map[string]bool)
	for _, row := range tableRows(t, "design.md", "## 19. Modules", "## 20. Proofs") {
		var types []string
		for dir := range strings.SplitSeq(row[0], ", ") {
			assert.DirExists(t, filepath.Join("internal", dir))
			listed[dir] = true
			types = append(types, src.types[dir]...)
		}
		for name := range strings.SplitSeq(row[1], ", ") {
			assert.True(t, name == "functions" || slices.Contains(types, name), "%s has no type %s", row[0], name)
		}
	}
	dirs, err := filepath.Glob("internal/*/*")
	require.NoError(t, err)
	for _, dir := range dirs {
		dir, _ = filepath.Rel("internal", dir)
		assert.True(t, listed[dir] || strings.HasPrefix(dir, "cli/"), "%s is not in the table of modules", dir)
	}
	for _, row := range tableRows(t, "design.md", "## 20. Proofs", "") {
		var tests []string
		for dir := range strings.SplitSeq(row[3], ", ") {
			tests = append(tests, src.tests[dir]...)
		}
		for name := range strings.SplitSeq(row[4], ", ") {
			assert.Contains(t, tests, name, row[3])
		}
	}
}

// Guards against a table of faults that names an event which no process records.
func TestEventsOfFaults(t *testing.T) {
	src := parseSources(t)
	for _, row := range tableRows(t, "OPERATIONS.md", "## Faults", "## Settings reference") {
		require.Len(t, row, 5, row[0])
		for _, match := range regexp.MustCompile("`([A-Z][A-Za-z]+)`").FindAllStringSubmatch(row[2], -1) {
			assert.True(t, src.texts[match[1]], "no event %s", match[1])
		}
	}
}
