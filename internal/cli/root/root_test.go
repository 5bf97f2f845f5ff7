package root

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against scripts that take a fault for success or a wrong command
// line for a fault, and against a checker without the names of the plug-ins.
func TestExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "wrong.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"Fleet":{"Services":[{"Name":"a","Protocol":"none","Policy":"none"}]}}`), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		exit int
		out  string
	}{
		{"success", []string{"check", "../../../examples/magnolia.json"}, 0, "no faults"},
		{"faults", []string{"check", file}, 1, `unknown upstream protocol "none", known: completions`},
		{"policies", []string{"check", file}, 1, `unknown routing policy "none", known: leastreport`},
		{"unknown command", []string{"chek"}, 2, "unexpected argument"},
		{"unknown flag", []string{"check", "--jsn", file}, 2, "unknown flag"},
		{"help names the codes", []string{"--help"}, 0, "2 for a wrong command line"},
		{"version", []string{"version"}, 0, "citronstream"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, tc.exit, (&Root{out: &out, err: &out}).Run(tc.args))
			assert.Contains(t, string(bytes.ReplaceAll(out.Bytes(), []byte("\n"), []byte(" "))), tc.out)
		})
	}
}

// Guards against pages that name a command or flag that the binary lacks, and
// against commands and flags without a line in the man page.
func TestPages(t *testing.T) {
	parser, err := kong.New((&Root{}).newCommands(newChecker()), kong.Vars{"faults": ""})
	require.NoError(t, err)
	flags, names := map[string]bool{"help": true, "version": true}, []string{}
	err = kong.Visit(parser.Model, func(node kong.Visitable, next kong.Next) error {
		switch one := node.(type) {
		case *kong.Flag:
			flags[one.Name] = true
		case *kong.Node:
			if one.Type == kong.CommandNode {
				names = append(names, one.Name)
			}
		}
		return next(nil)
	})
	require.NoError(t, err)
	man, err := os.ReadFile("../../../docs/citronstream.1")
	require.NoError(t, err)
	page, err := os.ReadFile("../../../docs/operations.md")
	require.NoError(t, err)
	text := strings.ReplaceAll(string(man), `\-`, "-")
	for _, match := range regexp.MustCompile("--([a-z][a-z-]*)").FindAllStringSubmatch(text+string(page), -1) {
		assert.True(t, flags[match[1]], "no flag --%s", match[1])
	}
	for _, name := range names {
		assert.Regexp(t, `(?m)^\.B.*\b`+name+`\b`, text)
	}
	for name := range flags {
		assert.True(t, name == "help" || name == "version" || strings.Contains(text, "--"+name), "--%s is not in the man page", name)
	}
	for _, match := range regexp.MustCompile(`(?m)^    citronstream ([a-z]+)`).FindAllStringSubmatch(string(page), -1) {
		assert.Contains(t, names, match[1])
	}
}
