package bench

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/standin/service"
	"github.com/stretchr/testify/require"
)

const (
	// forgotten is longer than an agent remembers finished attempts.
	forgotten = 65 * time.Second
	// returned is the time that the runtime gets to give freed memory back.
	returned = 10 * time.Second
)

// BenchmarkAgentAtCap is the resident memory of an agent with the links of all
// entries whose keys are at their cap, with the table down: right after a burst
// of calls that fills it, when the finished attempts are still remembered, and
// when they are forgotten. A collection is asked for then, as an idle process
// makes one each 2 minutes only.
func BenchmarkAgentAtCap(b *testing.B) {
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
	<-st.clk.After(settle)
	for b.Loop() {
		b.ReportMetric(float64(ch.sample("collect").Resident)/(1<<20), "idle-resident-MB")
		st.table.SetDown(true)
		carried, refused := st.orders(es, up.Service, fl, 24_000)
		require.Positive(b, refused, "the cap was not reached by %d keys", carried)
		b.ReportMetric(float64(ch.sample("sample").Resident)/(1<<20), "burst-resident-MB")
		<-st.clk.After(forgotten)
		ch.sample("collect")
		<-st.clk.After(returned)
		b.ReportMetric(float64(carried), "keys")
		b.ReportMetric(float64(ch.sample("sample").Resident)/(1<<20), "resident-MB")
		st.table.SetDown(false)
	}
}

// orders sends keyed calls over the first 32 links and returns how many ran
// and how many were refused at the cap.
func (st *stage) orders(es Entries, service string, fl *citronstream.Fleet, number int) (carried, refused int64) {
	const senders = 32
	var ran, limited, other atomic.Int64
	var wg sync.WaitGroup
	for part := range senders {
		wg.Go(func() {
			for range number / senders {
				ca := citronstream.Call{
					RequestID: citronstream.NewID(), AttemptID: citronstream.NewID(), Workspace: fl.Workspaces[part].Name,
					Service: service, Call: "submit", Path: "/submit", Key: citronstream.NewID(), SentAt: st.clk.Now(),
					Left: 2 * time.Second, Cost: 0.5, Body: []byte(`{"Item":7}`), Version: fl.Version,
				}
				var re citronstream.Result
				err := es[part].Link().Call(st.ctx, citronstream.MethodStart, ca, &re)
				switch {
				case err == nil && re.Fault == nil && re.Unflushed:
					ran.Add(1)
				case err == nil && re.Fault != nil && re.Fault.Code == citronstream.CodeLimit && re.Fault.Verdict == citronstream.NotRun:
					limited.Add(1)
				default:
					if other.Add(1) <= 3 {
						st.tb.Logf("other answer: %v %+v", err, re)
					}
				}
			}
		})
	}
	wg.Wait()
	st.tb.Logf("%d answers that are neither", other.Load())
	return ran.Load(), limited.Load()
}
