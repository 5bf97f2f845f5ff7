package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"slices"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/citronstream/citronstream/internal/standin/memobjects"
	"github.com/citronstream/citronstream/internal/standin/memtable"
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

// changedUpstreams returns the fleet with another capacity for a number of upstreams.
func changedUpstreams(fl *citronstream.Fleet, number int) *citronstream.Fleet {
	next := *fl
	next.Upstreams = slices.Clone(fl.Upstreams)
	for i := range number {
		next.Upstreams[i*len(next.Upstreams)/number].Capacity++
	}
	return &next
}

// asking reads the configuration over one link.
type asking struct{ li *link.Link }

// Fetch implements version.Fetcher.
func (as asking) Fetch(ctx context.Context, _ string, rq citronstream.ConfigRequest) (version.Document, error) {
	var do version.Document
	err := as.li.Call(ctx, citronstream.MethodConfig, rq, &do)
	return do, err
}

// BenchmarkFetch is the transfer of a changed configuration over a link and
// its application, with the bytes on the link: for a process that holds none
// (whole) and for one that holds the version before.
func BenchmarkFetch(b *testing.B) {
	full, err := Example(root, "full", 0)
	require.NoError(b, err)
	for _, every := range []int{4, 2, 1} {
		fl := cut(full, every)
		for _, number := range []int{0, 1, 10, 100} {
			name := fmt.Sprintf("changed=%d", number)
			if number == 0 {
				name = "whole"
			}
			b.Run(fmt.Sprintf("%s/upstreams=%d", name, len(fl.Upstreams)), func(b *testing.B) { fetch(b, fl, number) })
		}
	}
}

func fetch(b *testing.B, fl *citronstream.Fleet, number int) {
	st := newStage(b)
	op := version.New(st.clk, st.table, memobjects.New())
	base, err := op.Accept(st.ctx, 0, fl, "bench")
	require.NoError(b, err)
	first := version.WithSnapshot(op.Current())
	if number == 0 {
		first = func(*version.Store) {} // holds no version
	}
	_, err = op.Accept(st.ctx, base, changedUpstreams(fl, max(number, 1)), "bench")
	require.NoError(b, err)
	near, me := st.serveConfig(op)
	down := memtable.New(st.clk)
	down.SetDown(true)
	b.ResetTimer()
	for b.Loop() {
		to := version.New(st.clk, down, memobjects.New(), version.WithFetcher(asking{near}), first)
		to.Observe(op.Version(), "peer")
		require.NoError(b, to.Refresh(st.ctx))
		require.Equal(b, op.Version(), to.Version())
		require.Equal(b, uint64(min(number, 1)), to.Counts().DeltasApplied)
	}
	b.ReportMetric(float64(me.Wire().Upper())/float64(b.N), "wire-bytes")
}

// serveConfig returns the near end of a link whose far end gives the
// configuration of a store, and the meter of the link.
func (st *stage) serveConfig(from *version.Store) (*link.Link, *Meter) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(st.tb, err)
	dialed, err := st.eng.Dial(st.ctx, ln.Addr().String())
	require.NoError(st.tb, err)
	nc, err := ln.Accept()
	require.NoError(st.tb, err)
	require.NoError(st.tb, ln.Close())
	accepted, err := st.eng.Attach(nc)
	require.NoError(st.tb, err)
	me := &Meter{}
	link.New(st.ctx, st.clk, me.Wrap(accepted), func(_ *link.Link, re *link.Request) {
		var rq citronstream.ConfigRequest
		if err := re.Decode(&rq); err != nil {
			re.ReplyError(err)
			return
		}
		re.Reply(from.DocumentFor(rq))
	})
	return link.New(st.ctx, st.clk, dialed, func(*link.Link, *link.Request) {}), me
}
