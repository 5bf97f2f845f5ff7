package fullsize

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write examples/full.json")

const file = "../../../examples/full.json"

func TestFullSize(t *testing.T) {
	se := New().Settings()
	// Guards against a change of only the file or only the generator.
	t.Run("committed file equals the output", func(t *testing.T) {
		want, err := se.Encode()
		require.NoError(t, err)
		if *update {
			require.NoError(t, os.WriteFile(file, want, 0o644))
		}
		got, err := os.ReadFile(file)
		require.NoError(t, err)
		assert.True(t, string(want) == string(got), "run go test ./internal/config/fullsize -update")
	})
	// Guards against counts that differ from section 1.4 of the design page.
	t.Run("numbers of the design page", func(t *testing.T) {
		fl, zones, accelerators := se.Fleet, 0, 0
		for _, re := range fl.Regions {
			zones += len(re.Zones)
		}
		for _, up := range fl.Upstreams {
			accelerators += up.Accelerators
		}
		assert.Equal(t, []int{8, 20, 360, 1700, 6700, 27, 1700, 19}, []int{
			len(fl.Regions), zones, len(fl.Entries), len(fl.Upstreams), accelerators,
			len(fl.Pipelines), len(fl.Workspaces), len(fl.Models),
		})
	})
}
