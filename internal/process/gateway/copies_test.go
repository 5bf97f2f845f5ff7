package gateway

import (
	"net/http"
	"testing"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
)

// finishedExecutions returns how often a request ran, once the upstreams have ended their
// work on it.
func (ts *testSite) finishedExecutions(ca *call) int {
	for _, ar := range ts.log.Of(ca.id) {
		<-ar.Ended
	}
	return ts.executions(ca)
}

// Guards against a copy of an earlier refusal that is taken for the answer to an order
// on the same connection: the order runs, but is sent to a second upstream or called not run.
func TestCopiesOfRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		copies   int32
		nameless bool
		status   int
	}{
		"one":              {1, false, http.StatusOK},
		"three":            {3, false, http.StatusOK},
		"one nameless":     {1, true, http.StatusBadGateway},
		"several nameless": {3, true, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestSite(t, 1)
			upstreams := []*site.Upstream{ts.upstream("d1", "desk"), ts.upstream("d2", "desk")}
			ts.waitReady()
			for _, up := range upstreams {
				up.Refuse.Store(true)
			}
			ca := ts.call()
			res, _ := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/order/", "")
			ts.assertStatus(http.StatusServiceUnavailable, res)
			assert.Len(t, ts.log.Of(ca.id), 2)
			for _, up := range upstreams {
				up.Refuse.Store(false)
				up.Copies.Store(tc.copies)
				up.Nameless.Store(tc.nameless)
			}
			ca = ts.call()
			res, _ = ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/order/", "")
			ts.assertStatus(tc.status, res)
			assert.Equal(t, 1, ts.finishedExecutions(ca))
		})
	}
}

// Guards against a copy that names the very request it is taken for. An upstream at a
// reused address turns away a request for the one before it, and then gets the same
// request under its own name.
func TestCopyNamesTheSameRequest(t *testing.T) {
	ts := newTestSite(t, 1)
	up := ts.upstream("d1", "desk")
	up.ID = "d9"
	ts.upstreams["d9"] = up
	ts.st.List(up, site.Ready)
	ts.waitReady()
	up.Copies.Store(1)
	sentAgain := false
	for range 100 {
		ca := ts.call()
		res, _ := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/order/", "")
		ts.assertStatus(http.StatusOK, res)
		assert.Equal(t, 1, ts.finishedExecutions(ca))
		if sentAgain = len(ts.log.Of(ca.id)) > 1; sentAgain {
			break
		}
	}
	assert.True(t, sentAgain, "no order was sent to the old name first")
}

// Guards against a copy of an upstream's refusal of a batch that hides the answer to the
// next one: its results would stay at the upstream, and its pieces be computed again.
func TestCopiesOfRefusedBatches(t *testing.T) {
	ts := newTestSite(t, 1)
	_, cut, glue := ts.addStageUpstreams()
	ts.waitReady()
	for _, up := range []*site.Upstream{cut, glue} {
		up.Refuse.Store(true)
		up.Copies.Store(1)
	}
	for range 5 {
		refused := len(ts.log.All())
		cut.Refuse.Store(true)
		done := make(chan struct{})
		go func() {
			defer close(done)
			ts.waitFor(func() bool { return len(ts.log.All()) > refused }, "no batch was sent")
			cut.Refuse.Store(false)
			glue.Refuse.Store(false)
		}()
		res, _ := ts.roundTrip(ts.entries[0], ts.stagedCall(), http.MethodPost, "/staged/stream/", "")
		<-done
		ts.assertStatus(http.StatusOK, res)
		// Before the next refusal: a release that is refused is not sent again.
		ts.waitFor(func() bool { return cut.Held()+glue.Held() == 0 }, "results are not released")
	}
}
