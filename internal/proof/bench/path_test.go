package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/stagebody"
	"github.com/citronstream/citronstream/internal/process/local"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const root = "../../.."

// site is a whole fleet in this process whose stand-ins take no time, with a
// caller that can go through the entry or straight to the stand-ins.
type site struct {
	b   *testing.B
	clk citronstream.Clock
	fl  *local.Fleet
	cl  *http.Client
}

func newSite(b *testing.B) *site {
	config, err := Example(root, "magnolia", 0)
	require.NoError(b, err)
	alone := config.Pipelines[0].Stages[3]
	config.Pipelines = append(config.Pipelines, citronstream.Pipeline{Name: "stream", Rank: "standard", Stages: []citronstream.Stage{alone}})
	clk := clockwork.NewRealClock()
	fl, err := local.New(b.Context(), clk, config, local.WithScale(0), local.WithSeed(1))
	require.NoError(b, err)
	b.Cleanup(fl.Stop)
	ctx, cancel := context.WithTimeout(b.Context(), 20*time.Second)
	defer cancel()
	require.NoError(b, fl.Ready(ctx))
	si := &site{b: b, clk: clk, fl: fl, cl: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	b.Cleanup(si.cl.CloseIdleConnections)
	return si
}

func (si *site) post(address, path string, body []byte) []byte {
	rq, err := http.NewRequestWithContext(si.b.Context(), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	require.NoError(si.b, err)
	rq.Header.Set("X-Workspace", si.fl.Config.Workspaces[0].Name)
	rq.Header.Set("X-Rank", "urgent")
	re, err := si.cl.Do(rq)
	require.NoError(si.b, err)
	defer func() { _ = re.Body.Close() }()
	answer, err := io.ReadAll(re.Body)
	require.NoError(si.b, err)
	require.Equal(si.b, http.StatusOK, re.StatusCode, "%s", answer)
	return answer
}

func (si *site) upstream(service string) (citronstream.Upstream, citronstream.Service) {
	for _, se := range si.fl.Config.Services {
		for _, up := range si.fl.Config.Upstreams {
			if se.Name == service && up.Service == service {
				return up, se
			}
		}
	}
	si.b.Fatalf("no upstream of %s", service)
	return citronstream.Upstream{}, citronstream.Service{}
}

// direct makes the calls of a pipeline to the stand-ins, one after the other.
func (si *site) direct(pi citronstream.Pipeline, body []byte) {
	bu, err := stagebody.New(body)
	require.NoError(si.b, err)
	var earlier []stagebody.Result
	for _, st := range pi.Stages {
		up, se := si.upstream(st.Service)
		input, err := bu.Build(se.Kind, st.Model, earlier)
		require.NoError(si.b, err)
		if se.Kind == citronstream.KindEngine {
			input = si.streamed(input, st.Model)
		}
		earlier = append(earlier, stagebody.Result{Stage: st.Name, Body: si.post(up.Address, se.Calls[0].Path, input)})
	}
}

// streamed adds what the agent adds to an engine's request.
func (si *site) streamed(body []byte, model string) []byte {
	fields := make(map[string]any)
	require.NoError(si.b, json.Unmarshal(body, &fields))
	fields["stream"], fields["model"] = true, model
	out, err := json.Marshal(fields)
	require.NoError(si.b, err)
	return out
}

// compare alternates both ways, so that other work on the machine touches both.
func (si *site) compare(b *testing.B, direct, through func()) {
	hists := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)}
	for range 50 { // connections, caches
		direct()
		through()
	}
	for b.Loop() {
		for i, way := range [2]func(){direct, through} {
			start := si.clk.Now()
			way()
			_ = hists[i].RecordValue(si.clk.Now().Sub(start).Microseconds())
		}
	}
	for name, quantile := range map[string]float64{"p50": 50, "p99": 99} {
		one, other := hists[0].ValueAtQuantile(quantile), hists[1].ValueAtQuantile(quantile)
		b.ReportMetric(float64(one), name+"-direct-us")
		b.ReportMetric(float64(other), name+"-through-us")
		b.ReportMetric(float64(other-one), name+"-added-us")
	}
}

// BenchmarkAdded is the latency that entry and agent add to a pipeline of
// four stages and to a plain call, against the same calls made directly.
func BenchmarkAdded(b *testing.B) {
	si := newSite(b)
	entry := si.fl.Config.Entries[0].Address
	pi := si.fl.Config.Pipelines[0]
	require.Len(b, pi.Stages, 4)
	body := []byte(`{"prompt":"which gasket fits a 6 l cooker?","max_tokens":12}`)
	b.Run("pipeline-4", func(b *testing.B) {
		si.compare(b, func() { si.direct(pi, body) }, func() { si.post(entry, "/v1/pipelines/"+pi.Name, body) })
	})
	up, _ := si.upstream("catalog")
	b.Run("plain", func(b *testing.B) {
		order := []byte(`{"Item":7}`)
		si.compare(b, func() { si.post(up.Address, "/search", order) }, func() { si.post(entry, "/v1/services/catalog/search", order) })
	})
}

const streamTokens = 500

// BenchmarkStream is the time to first token and the tokens a second of one
// stream of 500 tokens, through entry and agent and straight from the engine.
func BenchmarkStream(b *testing.B) {
	si := newSite(b)
	up, _ := si.upstream("writer")
	body, err := json.Marshal(map[string]any{"prompt": "which gasket?", "max_tokens": streamTokens, "stream": true, "model": up.Models[0]})
	require.NoError(b, err)
	for _, way := range []struct{ name, address, path string }{
		{"direct", up.Address, "/v1/completions"},
		{"through", si.fl.Config.Entries[0].Address, "/v1/pipelines/stream"},
	} {
		b.Run(way.name, func(b *testing.B) {
			first := hdrhistogram.New(1, 10_000_000, 3)
			for b.Loop() {
				si.stream(way.address, way.path, body, first)
			}
			b.ReportMetric(float64(b.N*streamTokens)/b.Elapsed().Seconds(), "tokens/s")
			b.ReportMetric(float64(first.ValueAtQuantile(50)), "p50-first-us")
			b.ReportMetric(float64(first.ValueAtQuantile(99)), "p99-first-us")
		})
	}
}

func (si *site) stream(address, path string, body []byte, first *hdrhistogram.Histogram) {
	rq, err := http.NewRequestWithContext(si.b.Context(), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	require.NoError(si.b, err)
	rq.Header.Set("X-Workspace", si.fl.Config.Workspaces[0].Name)
	start := si.clk.Now()
	re, err := si.cl.Do(rq)
	require.NoError(si.b, err)
	defer func() { _ = re.Body.Close() }()
	var head [6]byte
	_, err = io.ReadFull(re.Body, head[:])
	require.NoError(si.b, err)
	_ = first.RecordValue(si.clk.Now().Sub(start).Microseconds())
	rest, err := io.ReadAll(re.Body)
	require.NoError(si.b, err)
	require.Greater(si.b, len(rest), 6*streamTokens, "%s%s", head, rest)
}
