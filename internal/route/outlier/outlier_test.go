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

type fixture struct {
	*Detector
	t   *testing.T
	clk *clockwork.FakeClock
}

func setup(t *testing.T, count int) *fixture {
	clk := clockwork.NewFakeClock()
	ta := table.New(clk)
	fl := &citronstream.Fleet{Version: 1, Services: []citronstream.Service{{Name: "gen"}}}
	for i := range count {
		fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{Name: fmt.Sprintf("u%d", i), Service: "gen"})
	}
	ta.Replace(fl)
	return &fixture{New(clk, ta), t, clk}
}

// run records calls for each upstream: u0, u1, ... take the given times and
// return err, the others take 10 ms and succeed.
func (fx *fixture) run(calls int, err error, took ...time.Duration) {
	for range calls {
		for i := range fx.Len() {
			if i < len(took) {
				fx.Observe(fmt.Sprintf("u%d", i), 1, took[i], err)
			} else {
				fx.Observe(fmt.Sprintf("u%d", i), 1, 10*time.Millisecond, nil)
			}
		}
	}
	fx.clk.Advance(interval)
	fx.Evaluate()
}

func (fx *fixture) assertOut(names ...string) {
	fx.t.Helper()
	assert.Equal(fx.t, names, fx.Outliers())
	for name := range fx.current().stats {
		want := 1.0
		for _, out := range names {
			if name == out {
				want = outlierWeight
			}
		}
		assert.InDelta(fx.t, want, fx.table.Snapshot().Node(name).Weight(), 0, name)
	}
}

func TestDetector(t *testing.T) {
	const slow, middling = 100 * time.Millisecond, 22 * time.Millisecond
	failed := citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "status 500")
	t.Run("slow upstream becomes an outlier and recovers", func(t *testing.T) {
		fx := setup(t, 6)
		fx.run(20, nil, slow)
		fx.assertOut("u0")
		fx.run(10, nil)
		fx.assertOut()
	})
	t.Run("failing upstream becomes an outlier and recovers", func(t *testing.T) {
		fx := setup(t, 6)
		fx.run(5, failed, time.Millisecond)
		fx.assertOut("u0")
		fx.run(10, nil)
		fx.assertOut()
	})
	// Without hysteresis, an upstream between the bounds would change at each evaluation.
	t.Run("between the bounds nothing changes", func(t *testing.T) {
		fx := setup(t, 6)
		fx.run(20, nil, middling)
		fx.assertOut()
		fx.run(20, nil, slow)
		fx.run(40, nil, middling)
		fx.assertOut("u0")
	})
	// With more outliers, the other upstreams would be overloaded.
	t.Run("at most a third, the worst", func(t *testing.T) {
		fx := setup(t, 7)
		fx.run(20, nil, slow, 2*slow, 3*slow)
		fx.assertOut("u1", "u2")
	})
	t.Run("two upstreams are not compared", func(t *testing.T) {
		fx := setup(t, 2)
		fx.run(20, failed, slow)
		fx.assertOut()
	})
	// A busy upstream that refuses calls must not count as failing.
	t.Run("refusals are not failures", func(t *testing.T) {
		fx := setup(t, 6)
		fx.run(20, citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "full"), slow)
		fx.assertOut()
	})
}
