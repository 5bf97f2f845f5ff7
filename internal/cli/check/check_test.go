package check

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// run parses the arguments as the main program does and returns the output.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	cli := struct {
		Check Command `cmd:""`
	}{Check: *New(WithOutput(&out))}
	parser, err := kong.New(&cli)
	require.NoError(t, err)
	ctx, err := parser.Parse(append([]string{"check"}, args...))
	require.NoError(t, err)
	err = ctx.Run()
	return out.String(), err
}

// Guards against a command that succeeds, and so lets a script go on, although a
// file has faults.
func TestCommand(t *testing.T) {
	const good = "../../../examples/magnolia.json"
	broken := filepath.Join(t.TempDir(), "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte(`{"Process":{"Listen":1,"Admin":"x","Peers":["y"]}}`), 0o600))
	t.Run("good file", func(t *testing.T) {
		out, err := run(t, good)
		require.NoError(t, err)
		assert.Equal(t, good+": no faults\n", out)
	})
	t.Run("all faults of a broken file", func(t *testing.T) {
		out, err := run(t, "missing.json", broken)
		require.EqualError(t, err, "2 of 2 files have faults")
		assert.Contains(t, out, "missing.json: open missing.json: no such file")
		for _, key := range []string{"Process.Listen", "Process.Admin", "Process.Peers[0]"} {
			assert.Contains(t, out, broken+": "+key+": ")
		}
	})
	t.Run("JSON", func(t *testing.T) {
		out, err := run(t, "--json", good, broken)
		require.Error(t, err)
		var reports []report
		require.NoError(t, json.Unmarshal([]byte(out), &reports))
		assert.Equal(t, []bool{false, true}, []bool{reports[0].Failed, reports[1].Failed})
		assert.Len(t, reports[1].Faults, 3)
	})
}
