package root

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against exit codes by which a script takes a fault for success or a wrong
// command line for a fault, and against a checker that does not know the plug-ins.
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
