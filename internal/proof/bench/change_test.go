package bench

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/platform/dynamodb"
	"github.com/citronstream/citronstream/internal/platform/s3"
	"github.com/citronstream/citronstream/internal/process/entry"
	"github.com/citronstream/citronstream/internal/standin/memlist"
	"github.com/citronstream/citronstream/internal/standin/memobjects"
	standins3 "github.com/citronstream/citronstream/internal/standin/s3"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

const (
	// askers is the number of agents that read a change from one entry: 1,700
	// agents over 360 entries, rounded up.
	askers = 5
	// changesMade is the number of changes that a measurement averages over.
	changesMade = 3
)

// BenchmarkChange is what one change of one upstream costs an entry in bytes
// at several numbers of links: the notices, the answers to the agents that
// read it here, and its own read from the object store. The agents of the
// other entries have not named the version, which is the most that there can
// be to tell. Polls of the table and heartbeats are left out.
func BenchmarkChange(b *testing.B) {
	me := &metrics{b: b}
	for b.Loop() {
		for i, every := range []int{4, 2, 1} {
			fl, err := Example(root, "full", i)
			require.NoError(b, err)
			fl = Thin(fl, every)
			change(b, me, fl, Home(fl), fmt.Sprintf("1/%d", every))
		}
	}
}

// readers are the agents that ask an entry for each version that it tells them.
type readers struct {
	tb    testing.TB
	ctx   context.Context
	names map[string]bool
	asked sync.WaitGroup // one for each answer that is expected
}

func (rd *readers) told(li *link.Link, upstream string, number uint64) {
	if !rd.names[upstream] {
		return
	}
	go func() {
		defer rd.asked.Done()
		do, err := asking{li}.Fetch(rd.ctx, "", citronstream.ConfigRequest{Version: number, Holds: number - 1})
		if err != nil || do.Base != number-1 {
			rd.tb.Errorf("answer to %s: base %d, %v", upstream, do.Base, err)
		}
	}()
}

func change(b *testing.B, me *metrics, fl *citronstream.Fleet, home Region, size string) {
	st := newStage(b)
	files := standins3.New(st.clk)
	objects := &Meter{}
	near := httptest.NewUnstartedServer(files)
	near.Listener = meteredListener{near.Listener, objects}
	near.Start()
	b.Cleanup(near.Close)
	operators := httptest.NewServer(files)
	b.Cleanup(operators.Close)
	op := version.New(st.clk, st.table, s3.New(st.clk, operators.URL))
	number, err := op.Accept(st.ctx, 0, fl, "bench")
	require.NoError(b, err)
	fl.Version = number
	as, err := NewAgents(st.ctx, st.clk, st.eng, fl, home.Upstreams)
	require.NoError(b, err)
	rd := &readers{tb: b, ctx: st.ctx, names: make(map[string]bool)}
	for _, up := range home.Upstreams[:askers] {
		rd.names[up.Name] = true
	}
	as.Told = rd.told
	pl := citronstream.Platform{Table: st.table, Objects: s3.New(st.clk, near.URL), Liveness: memlist.New(st.clk, 0)}
	limits := citronstream.DefaultLimits()
	limits.ConfigPoll = citronstream.Duration(100 * time.Millisecond)
	en := entry.New(st.ctx, st.clk, st.eng, entry.Settings{Name: home.Entry.Name, Zone: home.Zone, Platform: pl, Limits: limits}, home.Entry.Address, logr.Discard())
	require.NoError(b, en.Start())
	b.Cleanup(en.Stop)
	require.Eventually(b, func() bool {
		return int(en.Agents.Counts().Links.Load()) == len(home.Upstreams) && en.Agents.Missing() == 0
	}, 20*time.Second, time.Millisecond)
	links, platform := as.Meter.Wire(), objects.Wire()
	for range changesMade {
		rd.asked.Add(askers)
		number, err = op.Accept(st.ctx, number, changedUpstreams(op.Current().Fleet, 1), "bench")
		require.NoError(b, err)
		rd.asked.Wait()
	}
	wanted := uint64(changesMade * len(home.Upstreams))
	require.Eventually(b, func() bool { return en.Agents.Counts().Notices.Load() >= wanted }, 20*time.Second, time.Millisecond)
	me.set(float64(len(home.Upstreams)), "links", size)
	me.set(float64(as.Meter.Wire().Sub(links).Upper())/changesMade, "link-B/change", size)
	me.set(float64(objects.Wire().Sub(platform).Upper())/changesMade, "object-B/change", size)
}

// BenchmarkPoll is one read of the version row after a number of changes, in
// bytes on the wire. Each entry makes one each 2 s.
func BenchmarkPoll(b *testing.B) {
	for _, versions := range []int{1, 8, 40} {
		b.Run(fmt.Sprintf("versions=%d", versions), func(b *testing.B) {
			st := newStage(b)
			op := version.New(st.clk, st.table, memobjects.New())
			for number := range versions {
				_, err := op.Accept(st.ctx, uint64(number), &citronstream.Fleet{Site: fmt.Sprint(number)}, "operator")
				require.NoError(b, err)
			}
			en := version.New(st.clk, dynamodb.New(st.clk, st.tables), memobjects.New(), version.WithSnapshot(op.Current()))
			require.NoError(b, en.Refresh(st.ctx)) // opens the connection
			before := st.wire.Wire()
			for b.Loop() {
				require.NoError(b, en.Refresh(st.ctx))
			}
			b.ReportMetric(float64(st.wire.Wire().Sub(before).Upper())/float64(b.N), "wire-bytes")
		})
	}
}
