package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/coldrate"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/citronstream/citronstream/internal/upstream/batch"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
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
	ts.waitFor(func() bool { return en.cold.Waiting("desk", "d1", 0) }, "no request waits")
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
	assert.False(t, en.cold.Waiting("desk", "d1", 9))
}

// Guards against batches that a cold upstream of a stage gets above its rate, and against
// jobs that fail as their batch was not sent.
func TestColdUpstreamOfAStage(t *testing.T) {
	ts := newColdSite(t)
	ts.st.Put("op", "config", strings.Replace(ts.st.Value("op", "config"), `"name":"cut",`, `"name":"cut","cold-start-s":3,"cold-per-s":8.9,`, 1))
	_, cut, _ := ts.addStageUpstreams()
	cut.Cold.Store(time.Minute.Milliseconds())
	ts.st.List(cut, site.Ready)
	ts.waitReady()
	en := ts.entries[0]
	ts.waitCold(en, cut.ID, true)
	ts.waitFor(en.cold.Settled, "the entry does not know that it is alone")
	began := ts.clk.Now()
	for range 4 {
		res, _ := ts.roundTrip(en, ts.stagedCall(), http.MethodPost, "/staged/stream/x", "")
		ts.assertStatus(http.StatusOK, res)
	}
	batches := 0
	for _, ar := range ts.log.All() {
		if ar.Upstream == cut.ID && ar.Target == site.PathBatch {
			batches++
		}
	}
	assert.LessOrEqual(t, batches, 2*(int(ts.clk.Since(began)/time.Second)+2))
	assert.Zero(t, en.budget.Refused())
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

// Guards against entries that leave the store to others and miss that an upstream turns
// cold, or is warm again: these are heartbeats, which change nothing else.
func TestListenersHearOfColdUpstreams(t *testing.T) {
	ts := newColdSite(t)
	for range 5 {
		ts.startEntry()
	}
	up := ts.upstream("d1", "desk")
	ts.waitReady()
	_, listeners := ts.readersAndListeners()
	assert.Len(t, listeners, 3)
	for range 3 {
		up.Cold.Store(time.Minute.Milliseconds())
		ts.st.List(up, site.Ready)
		for _, en := range ts.entries {
			ts.waitCold(en, "d1", true)
		}
		up.Cold.Store(0)
		ts.st.List(up, site.Ready)
		for _, en := range ts.entries {
			ts.waitCold(en, "d1", false)
		}
	}
}

// Guards against gateways that start at once, or are stopped under load, and send more to a
// cold upstream together than it tolerates.
func TestFleetAndAColdUpstream(t *testing.T) {
	const entries, most = 10, 18 // 8.9 x 1.5 + 5 within a second
	ts := newColdSite(t)
	ts.upstream("d1", "desk")
	ts.coldUpstream("d2")
	for range entries - 1 {
		ts.startEntry()
	}
	load, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, en := range ts.entries {
		group.Go(func() {
			for load.Err() == nil {
				if res, err := ts.send(load, en, ts.call(), http.MethodGet, "/look/x", ""); err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
				ts.clk.Sleep(5 * time.Millisecond)
			}
		})
	}
	ts.waitFor(func() bool { return ts.arrivedAt("d2") >= 2*entries }, "the cold upstream gets nothing")
	ts.entries[0].stop()
	ts.waitFor(func() bool { return ts.arrivedAt("d2") >= 4*entries }, "the cold upstream gets nothing without one of its senders")
	cancel()
	group.Wait()
	var times []time.Time
	for _, ar := range ts.log.All() {
		if ar.Upstream == "d2" {
			times = append(times, ar.At)
		}
	}
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		assert.LessOrEqual(t, i-first+1, most)
	}
}

// Guards against a slow log that holds up all choices of an upstream, and all rows, while a
// change of an upstream's state is logged.
func TestColdChangeIsLoggedWithoutLocks(t *testing.T) {
	ts := newColdSite(t)
	logging, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	ts.logger = funcr.New(func(_, line string) {
		if strings.Contains(line, "upstream cold") {
			once.Do(func() { close(logging) })
			<-release
		}
	}, funcr.Options{})
	en := ts.startEntry()
	ts.coldUpstream("d1")
	<-logging
	free := make(chan struct{})
	go func() {
		en.cold.Free("d1")
		en.view.Evacuated()
		close(free)
	}()
	ts.waitFor(func() bool {
		select {
		case <-free:
			return true
		default:
			return false
		}
	}, "the choice of an upstream waits for the log")
	close(release)
}

// Guards against a cold upstream of a stage that gets few batches, as each holds its permit
// until its answer instead of for the second in which it counts.
func TestBatchHoldsItsPermitForASecond(t *testing.T) {
	release := make(chan struct{})
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(wr, `{"items":[{"handle":"a/1"}]}`)
	}))
	defer sv.Close()
	coldClock, clk := clockwork.NewFakeClock(), clockwork.NewRealClock()
	li := coldrate.New(coldClock, "self", func(string) citronstream.ServiceSpec {
		return citronstream.ServiceSpec{ColdStart: time.Second, ColdRate: 1}
	})
	mb := citronstream.Member{ID: "u", Service: "s", Address: strings.TrimPrefix(sv.URL, "http://"), Revision: 1, Cold: 10000 * time.Hour}
	li.Row(mb)
	coldClock.Advance(2 * time.Second)
	li.Listed(nil, coldClock.Now())
	pool := conns.New(clk)
	defer pool.Close()
	cb := &coldBatcher{batch.New(clk, logr.Discard(), pool), clk, li}
	done := make(chan error)
	go func() {
		_, _, err := cb.Run(t.Context(), node.New(mb), []citronstream.BatchItem{{RequestID: "r"}})
		done <- err
	}()
	assert.Eventually(t, func() bool { return !li.Free("u") }, 10*time.Second, time.Millisecond, "the batch takes no permit")
	assert.Eventually(t, func() bool {
		coldClock.Advance(2 * time.Second)
		li.Listed(nil, coldClock.Now())
		return li.Free("u")
	}, 10*time.Second, time.Millisecond, "the permit is held while the batch runs")
	close(release)
	assert.NoError(t, <-done)
}

// Guards against a gateway that does not hear how many others its peers know, and goes on
// sending to cold upstreams by an incomplete list.
func TestPeersTellHowManyGatewaysTheyKnow(t *testing.T) {
	ts := newColdSite(t)
	ts.startEntry()
	ts.upstream("d1", "desk")
	ts.waitReady()
	one, other := ts.entries[0], ts.entries[1]
	ts.waitFor(func() bool { return one.cold.Settled() && one.cold.Known() == 2 && other.cold.Known() == 2 }, "the entries do not know each other")
	missed := make([]string, 10)
	for i := range missed {
		missed[i] = fmt.Sprintf("192.0.2.%d:1", i)
	}
	ts.waitFor(func() bool {
		other.cold.Listed(missed, ts.clk.Now())
		rq := engines.Request{Tokens: 1}
		nd := other.engines.Pick(other.view.Members().Service("desk"), &rq) // its load is told
		other.engines.End(nd, rq, false)
		return one.cold.Incomplete() == coldrate.ReasonPeer
	}, "the entry does not doubt its list")
	assert.False(t, one.cold.Settled())
}

// Guards against upstreams of a zone that are taken for warm, and get all requests at once, as
// the store was away between the zone's evacuation and its end.
func TestStoreAwayBetweenAnEvacuationAndItsEnd(t *testing.T) {
	ts := newColdSite(t)
	up := ts.upstream("d1", "desk")
	ts.waitReady()
	en := ts.entries[0]
	ts.st.Put("op", evacuation, "{}")
	ts.assertEvacuated(ts.entries, true, "an evacuation is not heard of")
	en.door.Fault(site.Refuses)
	ts.waitFor(en.follower.StoreDown, "the store is not missed")
	ts.st.Remove("op", evacuation)
	ts.st.Forget()
	en.door.Fault(site.Sound)
	ts.assertEvacuated(ts.entries, false, "the zone is not taken back when the store returns")
	assert.True(t, en.cold.Limited("d1"))
	ts.st.List(up, site.Ready)
	ts.waitCold(en, "d1", false)
}
