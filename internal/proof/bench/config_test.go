package bench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// cut returns the fleet with one in every of its workspaces and upstreams.
func cut(fl *citronstream.Fleet, every int) *citronstream.Fleet {
	next := *fl
	next.Workspaces, next.Upstreams = nil, nil
	for i := 0; i < len(fl.Workspaces); i += every {
		next.Workspaces = append(next.Workspaces, fl.Workspaces[i])
	}
	for i := 0; i < len(fl.Upstreams); i += every {
		next.Upstreams = append(next.Upstreams, fl.Upstreams[i])
	}
	return &next
}

func heap() uint64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// BenchmarkInForce is what a change of the configuration costs an entry at
// several sizes: read, check, catalog and routing table. It reports the bytes
// that peers pass on and the memory that the result keeps.
func BenchmarkInForce(b *testing.B) {
	full, err := Example(root, "full", 0)
	require.NoError(b, err)
	for _, every := range []int{4, 2, 1} {
		fl := cut(full, every)
		fl.Version = 2
		b.Run(fmt.Sprintf("upstreams=%d", len(fl.Upstreams)), func(b *testing.B) {
			text, err := json.Marshal(fl)
			require.NoError(b, err)
			packed, digest, err := version.Encode(fl)
			require.NoError(b, err)
			do := version.Document{Record: version.Record{Version: 2, Digest: digest}, Body: packed}
			ta := table.New(clockwork.NewRealClock())
			before := heap()
			var ca *catalog.Catalog
			for b.Loop() {
				_, faults := check.New().Fleet(text)
				require.False(b, check.Failed(faults) && every == 1)
				next, err := version.Decode(do)
				require.NoError(b, err)
				require.True(b, ta.Replace(next))
				ca = catalog.New(next)
			}
			b.ReportMetric(float64(len(packed)), "gzip-bytes")
			b.ReportMetric(float64(heap()-before), "heap-bytes")
			runtime.KeepAlive(ca)
			runtime.KeepAlive(ta)
		})
	}
}
