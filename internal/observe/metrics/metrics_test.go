package metrics

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	operators "github.com/citronstream/citronstream/internal/operator/server"
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

	dto "github.com/prometheus/client_model/go"
)

// testFleet has a service for each optional part of an agent: keyed calls and
// load reports at desk, engine commands and a prefix cache at writer.
func testFleet() *citronstream.Fleet {
	return &citronstream.Fleet{
		Version: 3, Limits: citronstream.DefaultLimits(), Ranks: []citronstream.Rank{{Name: "urgent"}},
		Services: []citronstream.Service{
			{Name: "desk", Kind: citronstream.KindPlain, Protocol: "plain", ReportsLoad: true, Calls: []citronstream.ServiceCall{{Name: "place"}}},
			{Name: "writer", Kind: citronstream.KindEngine, Protocol: "completions", Calls: []citronstream.ServiceCall{{Name: "write", Idempotent: true}}},
		},
		Upstreams: []citronstream.Upstream{{Name: "desk-1", Service: "desk", Capacity: 1}, {Name: "writer-1", Service: "writer", Capacity: 1}},
	}
}

// gather returns the metric families of an entry and of agents that have not
// started, by process name.
func gather(t *testing.T) map[string][]*dto.MetricFamily {
	t.Helper()
	clk := clockwork.NewFakeClock()
	table := memtable.New(clk)
	plat := citronstream.Platform{Table: table, Objects: memobjects.New(), Liveness: memlist.New(clk, 0)}
	eng, err := nbconn.New()
	require.NoError(t, err)
	t.Cleanup(eng.Stop)
	fl := testFleet()
	en := entry.New(context.Background(), clk, eng, entry.Settings{Name: "entry-1", Platform: plat, Limits: fl.Limits}, "127.0.0.1:0", logr.Discard())
	en.Routes.Replace(fl)
	sets := map[string]*Set{"entry": New(func() uint64 { return 3 })}
	sets["entry"].AddEntry(en)
	sets["entry"].Request("urgent", time.Second)
	for _, up := range fl.Upstreams {
		ag, err := agent.New(clk, eng, agent.Settings{Upstream: up.Name, Platform: plat}, &version.Snapshot{Fleet: fl}, logr.Discard())
		require.NoError(t, err)
		sets[up.Name] = New(func() uint64 { return 3 })
		sets[up.Name].AddAgent(ag)
	}
	found := make(map[string][]*dto.MetricFamily)
	for process, set := range sets {
		set.AddOperators(operators.New(clk, "", nil))
		set.AddLedger(ledger.New(table, clk, process, 1))
		set.Stage("desk", time.Second)
		families, err := set.reg.Gather()
		require.NoError(t, err)
		for _, fa := range families {
			if strings.HasPrefix(fa.GetName(), "citronstream_") {
				found[process] = append(found[process], fa)
			}
		}
	}
	return found
}

// Guards against duplicate series, which break a scrape, and against names
// whose suffix doesn't match the metric's type.
func TestNames(t *testing.T) {
	valid := regexp.MustCompile(`^citronstream_[a-z0-9_]+$`)
	for process, families := range gather(t) {
		assert.Greater(t, len(families), 15, process)
		for _, fa := range families {
			name, kind := fa.GetName(), fa.GetType().String()
			assert.Regexp(t, valid, name)
			assert.Equal(t, kind == "COUNTER", strings.HasSuffix(name, "_total"), "%s is a %s", name, kind)
			assert.Equal(t, kind == "HISTOGRAM", strings.HasSuffix(name, "_duration_seconds"), "%s is a %s", name, kind)
		}
	}
}

// exposed holds the roles and labels under which each metric is exported.
type exposed struct {
	roles  map[string]map[string]bool // "entry", "agent" by metric
	labels map[string]map[string]bool // label="value" by metric, without names from the configuration
}

func expose(t *testing.T) exposed {
	ex := exposed{make(map[string]map[string]bool), make(map[string]map[string]bool)}
	for process, families := range gather(t) {
		role := "agent"
		if process == "entry" {
			role = "entry"
		}
		for _, fa := range families {
			name := fa.GetName()
			if ex.roles[name] == nil {
				ex.roles[name], ex.labels[name] = make(map[string]bool), make(map[string]bool)
			}
			ex.roles[name][role] = true
			for _, mt := range fa.GetMetric() {
				for _, la := range mt.GetLabel() {
					if la.GetName() != "service" && la.GetName() != "rank" {
						ex.labels[name][la.GetName()+"="+strconv.Quote(la.GetValue())] = true
					}
				}
			}
		}
	}
	return ex
}

// Guards against a page that names a metric, label or value that no process
// exports, and against a metric that the page omits or assigns to the wrong
// role.
func TestPage(t *testing.T) {
	raw, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	gateways, err := os.ReadFile("../../../docs/platform.md")
	require.NoError(t, err)
	page, ex, listed := string(raw), expose(t), make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `(citronstream_[a-z_]+)` \\| (\\w+) \\| (.+) \\|$").FindAllStringSubmatch(page, -1) {
		name, roles := row[1], map[string]bool{row[2]: true}
		if row[2] == "all" {
			roles = map[string]bool{"entry": true, "agent": true}
		}
		listed[name] = true
		assert.Equal(t, ex.roles[name], roles, "processes with %s", name)
		values := make(map[string]bool)
		for _, list := range regexp.MustCompile("`([a-z]+)`: ([a-z_]+(?:, [a-z_]+)*)").FindAllStringSubmatch(row[3], -1) {
			for value := range strings.SplitSeq(list[2], ", ") {
				values[list[1]+"="+strconv.Quote(value)] = true
			}
		}
		assert.Equal(t, ex.labels[name], values, "labels of %s", name)
	}
	for name := range ex.roles {
		assert.True(t, listed[name], "%s is not on the page", name)
	}
	for _, match := range regexp.MustCompile(`(citronstream_[a-z_]+)(?:\{([^}]*)\})?`).FindAllStringSubmatch(page, -1) {
		name := strings.TrimSuffix(match[1], "_bucket")
		if strings.HasPrefix(name, "citronstream_site_") {
			// Of a gateway; its own test compares the list of docs/platform.md with what it serves.
			assert.Contains(t, string(gateways), "\n| `"+name+"` |", "not in the list of the gateway's metrics")
			continue
		}
		assert.Contains(t, ex.roles, name)
		for _, label := range regexp.MustCompile(`[a-z]+="[^"]*"`).FindAllString(match[2], -1) {
			assert.Contains(t, ex.labels[name], label, name)
		}
	}
}

// Guards against a label with an unbounded number of values.
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

// BenchmarkObserve measures the cost on the request path of a request of one stage.
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
