package bench

import (
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/peer/asker"
	"github.com/citronstream/citronstream/internal/peer/link"
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

func heap() int64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.GC() // empties what pools kept over the first
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
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

// BenchmarkFetch is the transfer of the full-size configuration from a peer,
// with the bytes on the link.
func BenchmarkFetch(b *testing.B) {
	fl, err := Example(root, "full", 0)
	require.NoError(b, err)
	fl.Version = 2
	packed, digest, err := version.Encode(fl)
	require.NoError(b, err)
	do := version.Document{Record: version.Record{Version: 2, Digest: digest}, Body: packed}
	st := newStage(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = ln.Close() }()
	me := &Meter{}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if stream, err := st.eng.Attach(nc); err == nil {
				link.New(st.ctx, st.clk, me.Wrap(stream), func(_ *link.Link, re *link.Request) {
					if re.Method == citronstream.MethodHello {
						re.Reply(citronstream.Hello{Name: "peer", Version: 2})
						return
					}
					re.Reply(do)
				})
			}
		}
	}()
	ask := asker.New(st.clk, st.eng, func() citronstream.Hello { return citronstream.Hello{Name: "asker"} })
	for b.Loop() {
		got, err := ask.Fetch(st.ctx, ln.Addr().String(), citronstream.ConfigRequest{Version: 2})
		require.NoError(b, err)
		require.Len(b, got.Body, len(packed))
	}
	b.ReportMetric(float64(me.Wire().Upper())/float64(b.N), "wire-bytes")
}
