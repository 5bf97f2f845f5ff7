package metrics

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/process/agent"
	"github.com/citronstream/citronstream/internal/process/entry"
	"github.com/citronstream/citronstream/internal/standin/memlist"
	"github.com/citronstream/citronstream/internal/standin/memobjects"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// names lists all metrics of an entry and an agent that have not started.
func names(t *testing.T) map[string]string {
	t.Helper()
	clk := clockwork.NewFakeClock()
	table := memtable.New(clk)
	plat := citronstream.Platform{Table: table, Objects: memobjects.New(), Liveness: memlist.New(clk, 0)}
	eng, err := nbconn.New()
	require.NoError(t, err)
	t.Cleanup(eng.Stop)
	fl := &citronstream.Fleet{
		Version: 3, Limits: citronstream.DefaultLimits(), Ranks: []citronstream.Rank{{Name: "urgent"}},
		Services:  []citronstream.Service{{Name: "desk", Protocol: "plain", Calls: []citronstream.ServiceCall{{Name: "place"}}}},
		Upstreams: []citronstream.Upstream{{Name: "desk-1", Service: "desk", Capacity: 1}},
	}
	set := New(func() uint64 { return 3 })
	en := entry.New(context.Background(), clk, eng, entry.Settings{Name: "entry-1", Platform: plat, Limits: fl.Limits}, "127.0.0.1:0", logr.Discard())
	en.Routes.Replace(fl)
	set.AddEntry(en)
	ag, err := agent.New(clk, eng, agent.Settings{Upstream: "desk-1", Platform: plat}, &version.Snapshot{Fleet: fl}, logr.Discard())
	require.NoError(t, err)
	agents := New(func() uint64 { return 3 })
	agents.AddAgent(ag)
	agents.AddLedger(ledger.New(table, clk, "desk-1", 1))
	set.Request("urgent", time.Second)
	agents.Stage("desk", time.Second)
	found := make(map[string]string)
	for _, one := range []*Set{set, agents} {
		families, err := one.reg.Gather()
		require.NoError(t, err)
		for _, fa := range families {
			found[fa.GetName()] = fa.GetType().String()
		}
	}
	return found
}

// Guards against metrics that two processes give under one series, that
// break a scrape, or whose names don't tell their unit.
func TestNames(t *testing.T) {
	valid := regexp.MustCompile(`^citronstream_[a-z0-9_]+$`)
	own := 0
	for name, kind := range names(t) {
		if strings.HasPrefix(name, "go_") || strings.HasPrefix(name, "process_") {
			continue
		}
		own++
		assert.Regexp(t, valid, name)
		assert.Equal(t, kind == "COUNTER", strings.HasSuffix(name, "_total"), "%s is a %s", name, kind)
		assert.Equal(t, kind == "HISTOGRAM", strings.HasSuffix(name, "_duration_seconds"), "%s is a %s", name, kind)
	}
	assert.Greater(t, own, 25)
}

// Guards against a page that names a metric that no process has, and against
// a metric that the page leaves out.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations.md")
	require.NoError(t, err)
	listed := make(map[string]bool)
	for _, match := range regexp.MustCompile("(?m)^\\| `(citronstream_[a-z_]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		listed[match[1]] = true
	}
	found := names(t)
	for name := range found {
		assert.True(t, listed[name] || !strings.HasPrefix(name, "citronstream_"), "%s is not on the page", name)
	}
	for _, name := range regexp.MustCompile("citronstream_[a-z_]+").FindAllString(string(page), -1) {
		assert.Contains(t, found, name)
	}
}

// Guards against a label whose values grow without a bound.
func TestLabelsAreBounded(t *testing.T) {
	se := New(func() uint64 { return 0 })
	for i := range 2 * maxLabels {
		se.Stage(fmt.Sprint("service-", i), time.Millisecond)
	}
	families, err := se.reg.Gather()
	require.NoError(t, err)
	for _, fa := range families {
		assert.LessOrEqual(t, len(fa.GetMetric()), maxLabels, fa.GetName())
	}
}

// BenchmarkObserve is what the request path pays for a request of one stage.
func BenchmarkObserve(b *testing.B) {
	se := New(func() uint64 { return 0 })
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			se.Request("urgent", time.Millisecond)
			se.Stage("writer", time.Millisecond)
		}
	})
}
