package inventory

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/citronstream/citronstream/internal/config/check"
)

const settingsFile = "../../../examples/magnolia.json"

// run parses the arguments as the main program does and returns the document and the diagnostics.
func run(t *testing.T, register string, args ...string) (string, string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "register.csv")
	require.NoError(t, os.WriteFile(file, []byte(register), 0o600))
	var out, diagnostics bytes.Buffer
	cli := struct {
		Inventory Command `cmd:""`
	}{Inventory: *New(WithOutput(&out), WithDiagnostics(&diagnostics))}
	parser, err := kong.New(&cli)
	require.NoError(t, err)
	ctx, err := parser.Parse(append([]string{"inventory", "import", file, "--settings", settingsFile}, args...))
	require.NoError(t, err)
	err = ctx.Run()
	return out.String(), diagnostics.String(), err
}

func TestImport(t *testing.T) {
	const row = "Z9,desk-9,127.0.0.1,us-southeast-a,upstream,order-desk,21090,21190,4\n"
	const header = "Asset,hostname,ip,zone,role,service,port,agent_port,capacity\n"
	// Guards against an import that writes a document that apply would reject.
	t.Run("document passes the check", func(t *testing.T) {
		out, diagnostics, err := run(t, header+row, "--column", "asset_id=Asset")
		require.NoError(t, err)
		assert.Contains(t, diagnostics, "1 lines, 0 blank, 2 added, 0 replaced, 0 unchanged; ignored columns: none")
		se, faults := check.New().Settings([]byte(out))
		assert.Empty(t, faults)
		assert.NotContains(t, out, `"Process"`)
		assert.Equal(t, "desk-9", se.Fleet.Upstreams[len(se.Fleet.Upstreams)-1].Name)
	})
	// Guards against an incomplete inventory in a file that a script then applies.
	t.Run("no document if there are faults", func(t *testing.T) {
		for register, want := range map[string]string{
			header + row + "Z8\n": "line 3: 1 fields, the header has 9",
			header + "Z9,desk-9,127.0.0.1,us-southeast-a,upstream,order-desk,21000,21190,4\n": "result: Fleet.Upstreams[25].Address: address 127.0.0.1:21000 is taken",
		} {
			out, diagnostics, err := run(t, register, "--column", "asset_id=Asset")
			assert.ErrorContains(t, err, "1 faults, nothing imported")
			assert.Contains(t, diagnostics, want)
			assert.Empty(t, out)
		}
	})
	t.Run("unknown column", func(t *testing.T) {
		_, _, err := run(t, header, "--column", "asset=Asset")
		assert.ErrorContains(t, err, `--column: unknown column "asset", known: asset_id`)
	})
}
