package bench

import (
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/require"
)

// BenchmarkEntryRate is what one entry on two cores carries, with the load,
// the agents and their upstreams in another process: requests a second, and
// requests and tokens for a second of processor time.
func BenchmarkEntryRate(b *testing.B) {
	fl, err := Example(root, "full", 0)
	require.NoError(b, err)
	alone := fl.Pipelines[0].Stages[2]
	fl.Pipelines = append(fl.Pipelines, citronstream.Pipeline{Name: "stream", Rank: "standard", Stages: []citronstream.Stage{alone}})
	home := Home(fl)
	st := newStage(b)
	fl.Version = st.accept(fl)
	_, err = NewAgents(st.ctx, st.clk, st.eng, fl, home.Upstreams)
	require.NoError(b, err)
	en := home.Entry
	ch := st.spawn(Child{Role: "entry", Name: en.Name, Zone: home.Zone, Address: en.Address, Threads: 2})
	ch.ready(len(home.Upstreams), fl.Version)
	for _, kind := range []struct {
		name, path, body string
		tokens           int
	}{
		{"plain", "/v1/services/desk-1/look-up", `{"Item":7}`, 0},
		{"pipeline-4", "/v1/pipelines/" + fl.Pipelines[1].Name, `{"prompt":"which gasket?","max_tokens":12}`, 12},
		{"tokens", "/v1/pipelines/stream", `{"prompt":"which gasket?","max_tokens":400,"stream":true}`, 400},
	} {
		b.Run(kind.name, func(b *testing.B) {
			const callers = 64
			for b.Loop() {
				done, us := st.drive(ch, callers, 5*time.Second, func() error {
					return post(en.Address, kind.path, fl.Workspaces[0].Name, []byte(kind.body))
				})
				b.ReportMetric(done/us.took, "requests/s")
				b.ReportMetric(done/us.cpu, "requests/core-s")
				b.ReportMetric(us.cpu/us.took, "cores")
				b.ReportMetric(done*float64(kind.tokens)/us.cpu, "tokens/core-s")
				b.ReportMetric(float64(us.failed), "failed")
			}
		})
	}
}

type driven struct {
	took, cpu float64 // seconds
	failed    int
}

// drive runs callers in a closed loop for a time.
func (st *stage) drive(ch *child, callers int, lasts time.Duration, send func() error) (float64, driven) {
	stop := make(chan struct{})
	done := make([]int, callers)
	failed := make([]error, callers)
	var dr driven
	before, start := ch.sample("sample"), st.clk.Now()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := send(); err != nil {
					failed[i] = err
					return
				}
				done[i]++
			}
		})
	}
	<-st.clk.After(lasts)
	close(stop)
	wg.Wait()
	dr.took, dr.cpu = st.clk.Now().Sub(start).Seconds(), (ch.sample("sample").CPU - before.CPU).Seconds()
	sum := 0
	for i := range callers {
		sum += done[i]
		if failed[i] != nil {
			dr.failed++
			st.tb.Logf("caller %d: %v", i, failed[i])
		}
	}
	return float64(sum), dr
}
