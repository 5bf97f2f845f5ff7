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

// run parses the arguments as the main program does and returns document and notes.
func run(t *testing.T, register string, args ...string) (string, string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "register.csv")
	require.NoError(t, os.WriteFile(file, []byte(register), 0o600))
	var out, notes bytes.Buffer
	cli := struct {
		Inventory Command `cmd:""`
	}{Inventory: *New(WithOutput(&out), WithNotes(&notes))}
	parser, err := kong.New(&cli)
	require.NoError(t, err)
	ctx, err := parser.Parse(append([]string{"inventory", "import", file, "--settings", settingsFile}, args...))
	require.NoError(t, err)
	err = ctx.Run()
	return out.String(), notes.String(), err
}

func TestImport(t *testing.T) {
	const row = "Z9,desk-9,127.0.0.1,us-southeast-a,upstream,order-desk,21090,21190,4\n"
	const header = "Asset,hostname,ip,zone,role,service,port,agent_port,capacity\n"
	// Guards against a written document that apply would refuse.
	t.Run("document passes the check", func(t *testing.T) {
		out, notes, err := run(t, header+row, "--column", "asset_id=Asset")
		require.NoError(t, err)
		assert.Contains(t, notes, "1 lines, 0 blank, 2 added, 0 replaced, 0 unchanged; ignored columns: none")
		se, faults := check.New().Settings([]byte(out))
		assert.Empty(t, faults)
		assert.NotContains(t, out, `"Process"`)
		assert.Equal(t, "desk-9", se.Fleet.Upstreams[len(se.Fleet.Upstreams)-1].Name)
	})
	// Guards against half an inventory in a file that a script then applies.
	t.Run("no document with a fault", func(t *testing.T) {
		for register, want := range map[string]string{
			header + row + "Z8\n": "line 3: 1 fields, the header has 9",
			header + "Z9,desk-9,127.0.0.1,us-southeast-a,upstream,order-desk,21000,21190,4\n": "result: Fleet.Upstreams[25].Address: address 127.0.0.1:21000 is taken",
		} {
			out, notes, err := run(t, register, "--column", "asset_id=Asset")
			assert.ErrorContains(t, err, "1 faults, nothing imported")
			assert.Contains(t, notes, want)
			assert.Empty(t, out)
		}
	})
	t.Run("unknown column", func(t *testing.T) {
		_, _, err := run(t, header, "--column", "asset=Asset")
		assert.ErrorContains(t, err, `--column: unknown column "asset", known: asset_id`)
	})
}
