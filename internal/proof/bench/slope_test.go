package bench

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/standin/memlist"
	"github.com/citronstream/citronstream/internal/standin/memobjects"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/standin/service"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// paced sends at a rate for a time and returns the processor time of the
// process for a second, in percent of a core.
func (st *stage) paced(ch *child, rate int, lasts time.Duration, send func() error) (core float64, resident int64) {
	var wg sync.WaitGroup
	before, start := ch.sample("collect"), st.clk.Now()
	ticker := st.clk.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for st.clk.Now().Sub(start) < lasts {
		<-ticker.Chan()
		wg.Go(func() {
			if err := send(); err != nil {
				st.tb.Error(err)
			}
		})
	}
	wg.Wait()
	after, took := ch.sample("sample"), st.clk.Now().Sub(start)
	return 100 * (after.CPU - before.CPU).Seconds() / took.Seconds(), after.Resident
}

func (st *stage) rates(b *testing.B, ch *child, send func() error) {
	for _, rate := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				core, resident := st.paced(ch, rate, 3*time.Second, send)
				b.ReportMetric(core, "core-%")
				b.ReportMetric(float64(resident)/(1<<20), "resident-MB")
			}
		})
	}
}

// BenchmarkEntryLoad is the cost of plain calls at an entry at several rates.
func BenchmarkEntryLoad(b *testing.B) {
	fl, err := Example(root, "full", 0)
	require.NoError(b, err)
	home, st := Home(fl), newStage(b)
	fl.Version = st.accept(fl)
	_, err = NewAgents(st.ctx, st.clk, st.eng, fl, home.Upstreams)
	require.NoError(b, err)
	en := home.Entry
	ch := st.spawn(Child{Role: "entry", Name: en.Name, Zone: home.Zone, Address: en.Address, Threads: 2})
	ch.ready(len(home.Upstreams), fl.Version)
	st.rates(b, ch, func() error {
		return post(en.Address, "/v1/services/desk-1/look-up", fl.Workspaces[0].Name, []byte(`{"Item":7}`))
	})
}

// BenchmarkAgentLoad is the cost of idempotent calls at an agent at several rates.
func BenchmarkAgentLoad(b *testing.B) {
	fl, err := Example(root, "full", 0)
	require.NoError(b, err)
	home, st := Home(fl), newStage(b)
	fl.Version = st.accept(fl)
	var up citronstream.Upstream
	for _, up = range home.Upstreams {
		if up.Service == "desk-1" {
			break
		}
	}
	desk := service.New(st.clk, up.Name, record.New(st.clk), service.WithScale(0), service.WithCapacity(up.Capacity))
	require.NoError(b, desk.Start(st.ctx, up.Address))
	ch := st.spawn(Child{Role: "agent", Name: up.Name, Zone: home.Zone, Threads: 2})
	es := NewEntries(st.ctx, st.clk, st.eng, fl.Entries, up.Agent, fl.Version, len(home.Upstreams))
	ch.ready(len(fl.Entries), fl.Version)
	ws := fl.Workspaces[0].Name
	li := es[0].Link()
	st.rates(b, ch, func() error {
		var re citronstream.Result
		ca := citronstream.Call{
			RequestID: citronstream.NewID(), AttemptID: citronstream.NewID(), Workspace: ws, Service: up.Service, Call: "look-up",
			Path: "/look-up", Idempotent: true, Left: time.Second, Cost: 0.5, Body: []byte(`{"Item":7}`), Version: fl.Version,
		}
		if err := li.Call(st.ctx, citronstream.MethodStart, ca, &re); err != nil {
			return err
		}
		if re.Fault != nil {
			return re.Fault
		}
		return nil
	})
}

// BenchmarkKeys is the memory of an agent's keys and the rows that it writes
// for them: of three numbers of keys below the cap, and at the cap, where
// further keys are refused.
func BenchmarkKeys(b *testing.B) {
	for _, keys := range []int{4_000, 8_000, 16_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				require.Equal(b, keys, carried(b, keys, 100))
			}
		})
	}
	for _, answer := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("cap/answer=%d", answer), func(b *testing.B) {
			for b.Loop() {
				require.Less(b, carried(b, 40_000, answer), 40_000)
			}
		})
	}
}

// carried offers keys to an agent whose table is down, and returns the number
// of keys that ran on the grant. It then lets them be recorded.
func carried(b *testing.B, keys, answer int) int {
	ctx, cancel := context.WithCancel(context.Background())
	clk := clockwork.NewRealClock()
	ta, list := memtable.New(clk), memlist.New(clk, 0)
	list.Set(citronstream.InstanceState{Instance: "i"})
	gr := grant.New(grant.Settings{Upstream: "u", Service: "s", Instance: "i", Address: "a"}, ta, list, clk)
	cl := claim.New(gr, ta, memobjects.New(), clk)
	gr.Step(ctx)
	ended := cl.Run(ctx)
	defer func() {
		cancel()
		<-ended
	}()
	ta.SetDown(true) // the keys run on the grant
	before := heap()
	offer(ctx, b, clk, cl, keys, answer)
	held, co := heap()-before, cl.Counts()
	b.ReportMetric(float64(held)/float64(co.Unflushed), "heap-bytes/key")
	b.ReportMetric(float64(co.Bytes)/float64(co.Unflushed), "counted-bytes/key")
	b.ReportMetric(float64(held)/1e6, "heap-MB")
	b.ReportMetric(float64(co.Unflushed), "keys")
	_, writes, _ := ta.Counts()
	ta.SetDown(false)
	start := clk.Now()
	for cl.Counts().Unflushed > 0 && clk.Now().Sub(start) < 30*time.Second {
		<-clk.After(time.Millisecond)
	}
	_, after, _ := ta.Counts()
	b.ReportMetric(float64(after-writes), "flush-transactions")
	b.ReportMetric(float64(cl.Counts().Unflushed), "left")
	return co.Unflushed
}

// offer sends new keys. A key may only be refused at the cap, as NotRun.
func offer(ctx context.Context, b *testing.B, clk citronstream.Clock, cl *claim.Claim, keys, answer int) {
	var wg sync.WaitGroup
	for part := range 100 {
		wg.Go(func() {
			for i := part; i < keys; i += 100 {
				rq := claim.Request{Workspace: "workspace", Key: fmt.Sprintf("order-%016d", i), Digest: 1, Sent: clk.Now()}
				_, err := cl.Do(ctx, rq, func(context.Context) (claim.Answer, error) {
					return claim.Answer{Status: 200, Body: make([]byte, answer)}, nil
				})
				fa := citronstream.FaultOf(err)
				if err != nil && (fa.Verdict != citronstream.NotRun || fa.Code != citronstream.CodeLimit) {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}
