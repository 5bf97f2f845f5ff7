package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

type bench struct {
	*Detector
	t   *testing.T
	clk *clockwork.FakeClock
}

func setup(t *testing.T, count int) *bench {
	clk := clockwork.NewFakeClock()
	ta := table.New(clk)
	fl := &citronstream.Fleet{Version: 1, Services: []citronstream.Service{{Name: "gen"}}}
	for i := range count {
		fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{Name: fmt.Sprintf("u%d", i), Service: "gen"})
	}
	ta.Replace(fl)
	return &bench{New(clk, ta), t, clk}
}

// run records calls for each upstream: u0, u1, ... take the given times and
// return err, the others take 10 ms and succeed.
func (be *bench) run(calls int, err error, took ...time.Duration) {
	for range calls {
		for i := range be.Len() {
			if i < len(took) {
				be.Observe(fmt.Sprintf("u%d", i), 1, took[i], err)
			} else {
				be.Observe(fmt.Sprintf("u%d", i), 1, 10*time.Millisecond, nil)
			}
		}
	}
	be.clk.Advance(interval)
	be.Judge()
}

func (be *bench) assertOut(names ...string) {
	be.t.Helper()
	assert.Equal(be.t, names, be.Outliers())
	for name := range be.current().stats {
		want := 1.0
		for _, out := range names {
			if name == out {
				want = outWeight
			}
		}
		assert.InDelta(be.t, want, be.table.Snapshot().Node(name).Weight(), 0, name)
	}
}

func TestDetector(t *testing.T) {
	const slow, middling = 100 * time.Millisecond, 22 * time.Millisecond
	failed := citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "status 500")
	t.Run("slow upstream goes out and comes back", func(t *testing.T) {
		be := setup(t, 6)
		be.run(20, nil, slow)
		be.assertOut("u0")
		be.run(10, nil)
		be.assertOut()
	})
	t.Run("failing upstream goes out and comes back", func(t *testing.T) {
		be := setup(t, 6)
		be.run(5, failed, time.Millisecond)
		be.assertOut("u0")
		be.run(10, nil)
		be.assertOut()
	})
	// Without hysteresis, an upstream between the bounds would change at each evaluation.
	t.Run("between the bounds nothing changes", func(t *testing.T) {
		be := setup(t, 6)
		be.run(20, nil, middling)
		be.assertOut()
		be.run(20, nil, slow)
		be.run(40, nil, middling)
		be.assertOut("u0")
	})
	// Taking out more would overload the rest.
	t.Run("at most a third, the worst", func(t *testing.T) {
		be := setup(t, 7)
		be.run(20, nil, slow, 2*slow, 3*slow)
		be.assertOut("u1", "u2")
	})
	t.Run("two upstreams are not judged", func(t *testing.T) {
		be := setup(t, 2)
		be.run(20, failed, slow)
		be.assertOut()
	})
	// A busy upstream that refuses calls must not count as failing.
	t.Run("refusals are no failures", func(t *testing.T) {
		be := setup(t, 6)
		be.run(20, citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "full"), slow)
		be.assertOut()
	})
}
