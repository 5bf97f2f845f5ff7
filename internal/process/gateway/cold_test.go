package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
)

// newColdSite returns a site with one entry whose desks turn cold. One entry may send 2
// requests a second to each cold one.
func newColdSite(t *testing.T) *testSite {
	ts := newTestSite(t, 0)
	ts.bounds.ColdOverage, ts.bounds.ColdSlack = 1.5, 5
	ts.configure(2, `,{"name":"patient","host":"h","prefix":"/patient/","kind":"safe","timeout-ms":9000,"target-latency-ms":8000,"service":"desk","max-attempts":2}`)
	ts.st.Put("op", "config", strings.Replace(ts.st.Value("op", "config"), `"name":"desk",`, `"name":"desk","cold-start-s":3,"cold-per-s":8.9,`, 1))
	ts.startEntry()
	return ts
}

// coldUpstream lists an upstream that says that it is cold for a minute.
func (ts *testSite) coldUpstream(id string) *site.Upstream {
	up := ts.upstream(id, "desk")
	up.Cold.Store(time.Minute.Milliseconds())
	ts.st.List(up, site.Ready)
	return up
}

func (ts *testSite) waitCold(en *testEntry, id string, cold bool) {
	ts.t.Helper()
	ts.waitFor(func() bool { return en.cold.Limited(id) == cold }, "the state of the upstream is not known")
}

// arrivedAt returns the number of requests that reached an upstream.
func (ts *testSite) arrivedAt(id string) (count int) {
	for _, ar := range ts.log.All() {
		if ar.Upstream == id {
			count++
		}
	}
	return count
}

// Guards against a cold upstream that gets more than its rate while another one is warm,
// and against one that gets anything before the entry knows the others.
func TestColdUpstream(t *testing.T) {
	ts := newColdSite(t)
	ts.upstream("d1", "desk")
	ts.coldUpstream("d2")
	ts.waitReady()
	en := ts.entries[0]
	ts.waitCold(en, "d2", true)
	assertServed := func(count int) {
		for range count {
			res, _ := ts.roundTrip(en, ts.call(), http.MethodPost, "/order/x", "order")
			ts.assertStatus(http.StatusOK, res)
		}
	}
	if !en.cold.Settled() {
		assertServed(1)
		assert.True(t, en.cold.Settled() || ts.arrivedAt("d2") == 0)
	}
	ts.waitFor(en.cold.Settled, "the entry does not know that it is alone")
	began := ts.clk.Now()
	assertServed(50)
	seconds := int(ts.clk.Since(began)/time.Second) + 1
	assert.LessOrEqual(t, ts.arrivedAt("d2"), 2*(seconds+1))
	assert.NotZero(t, ts.arrivedAt("d2"))
	ts.upstreams["d2"].Cold.Store(0)
	ts.st.List(ts.upstreams["d2"], site.Ready)
	ts.waitCold(en, "d2", false)
}

// Guards against a service whose upstreams are all cold and get nothing, or too much:
// requests wait within their target, and others are refused at once.
func TestAllUpstreamsCold(t *testing.T) {
	ts := newColdSite(t)
	ts.coldUpstream("d1")
	ts.waitReady()
	en := ts.entries[0]
	ts.waitCold(en, "d1", true)
	ts.waitFor(en.cold.Settled, "the entry does not know that it is alone")
	began := ts.clk.Now()
	var group sync.WaitGroup
	for range 5 {
		group.Go(func() {
			res, _ := ts.roundTrip(en, ts.call(), http.MethodGet, "/patient/x", "")
			ts.assertStatus(http.StatusOK, res)
		})
	}
	ts.waitFor(func() bool { return en.cold.Waiting("desk", 0) }, "no request waits")
	for range 5 {
		ca := ts.call()
		res, _ := ts.roundTrip(en, ca, http.MethodPost, "/order/x", "order")
		if res.StatusCode != http.StatusOK {
			ts.assertStatus(http.StatusServiceUnavailable, res)
			assert.NotEmpty(t, res.Header.Get("Retry-After"))
			assert.Zero(t, ts.executions(ca))
		}
	}
	group.Wait()
	assert.GreaterOrEqual(t, ts.clk.Since(began), 2*time.Second, "5 requests were sent at 2 a second")
	assert.False(t, en.cold.Waiting("desk", 9))
}

// Guards against upstreams of a zone that was taken back and get all requests at once, and
// against ones that stay cold although a newer row says otherwise.
func TestUpstreamsAreColdAfterAnEvacuation(t *testing.T) {
	ts := newColdSite(t)
	up := ts.upstream("d1", "desk")
	ts.waitReady()
	ts.st.Put("op", evacuation, "{}")
	ts.assertEvacuated(ts.entries, true, "an evacuation is not heard of")
	ts.st.Remove("op", evacuation)
	ts.assertEvacuated(ts.entries, false, "the end of an evacuation is not heard of")
	assert.True(t, ts.entries[0].cold.Limited("d1"))
	ts.st.List(up, site.Ready)
	ts.waitCold(ts.entries[0], "d1", false)
}

// Guards against an upstream that died and comes back as a new process that is taken for
// warm, as its first row, written before the traffic, says so.
func TestRestartedUpstreamIsCold(t *testing.T) {
	ts := newColdSite(t)
	up := ts.upstream("d1", "desk")
	ts.waitReady()
	up.Crash()
	assert.NoError(t, up.Restart())
	ts.st.List(up, site.Ready)
	ts.waitCold(ts.entries[0], "d1", true)
	ts.st.List(up, site.Ready)
	ts.waitCold(ts.entries[0], "d1", false)
}
