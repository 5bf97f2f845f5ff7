package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// addStageUpstreams adds the upstreams of the route with stages.
func (wo *testSite) addStageUpstreams() (pool, cut, glue *site.Upstream) {
	return wo.upstream("p1", "pool"), wo.upstream("c1", "cut"), wo.upstream("g1", "glue")
}

func (wo *testSite) stagedCall() *call {
	return wo.call(site.HeaderPieces, "2,1", site.HeaderPieceKey, "k", site.HeaderTokens, "10,5")
}

// Stages run in their order, with the results of all pieces before, and the
// request gets those of the last one. Used results are released.
func TestStages(t *testing.T) {
	wo := newTestSite(t, 2)
	_, cut, glue := wo.addStageUpstreams()
	wo.waitReady()
	var group sync.WaitGroup
	for i := range 6 {
		ca := wo.stagedCall()
		group.Go(func() {
			res, body := wo.roundTrip(wo.entries[i%2], ca, http.MethodPost, "/staged/stream/", "")
			assert.Equal(t, http.StatusOK, res.StatusCode)
			assert.Equal(t, 5, strings.Count(body, "data:"))
			inputs := wo.log.Of(ca.id)[0].Header.Get(site.HeaderInputs)
			assert.True(t, strings.HasPrefix(inputs, glue.Address()+"/"), inputs)
			assert.NotContains(t, inputs, ",")
		})
	}
	group.Wait()
	wo.waitFor(func() bool { return cut.Held()+glue.Held() == 0 }, "results are not released")
	for _, ar := range wo.log.All() {
		if ar.Target == site.PathBatch && ar.Upstream == "g1" {
			assert.Contains(t, ar.Body, `"inputs":["`+cut.Address())
			assert.NotContains(t, ar.Body, `"key"`)
		}
	}
}

// The inputs of a stage are released while it works, once they had time to be read.
func TestInputsAreReleasedEarly(t *testing.T) {
	wo := newTestSite(t, 2)
	_, cut, glue := wo.addStageUpstreams()
	wo.waitReady()
	glue.Work.Store(int64(time.Second))
	ca := wo.stagedCall()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/staged/stream/", "")
	}()
	wo.waitFor(func() bool {
		return slices.ContainsFunc(wo.log.All(), func(ar site.Arrival) bool { return ar.Upstream == "g1" })
	}, "the second stage was not sent")
	wo.waitFor(func() bool { return cut.Held() == 0 }, "the inputs are held")
	assert.Zero(t, glue.Held(), "the work has ended before the inputs were released")
	<-answered
	wo.waitFor(func() bool { return glue.Held() == 0 }, "results are not released")
}

// A stage that a request leaves out is no input of the next one, also when its
// service is not in the configuration.
func TestOmittedStage(t *testing.T) {
	wo := newTestSite(t, 1)
	wo.addStageUpstreams()
	wo.st.Configure(2, `,{"name":"odd","host":"h","prefix":"/odd/stream/","kind":"streaming","timeout-ms":8000,"target-latency-ms":6000,"service":"pool",
		"stages":[{"service":"nowhere","after":[],"bytes":1},{"service":"cut","after":[0],"bytes":100}]}`)
	wo.waitReady()
	wo.waitFor(func() bool { return wo.entries[0].view.Routes().Version == 2 }, "the configuration is not in force")
	ca := wo.call(site.HeaderPieces, "0,2", site.HeaderPieceKey, "k")
	res, _ := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/odd/stream/", "")
	wo.assertStatus(http.StatusOK, res)
}

// Inputs that are gone when the request reaches its engine are made again.
func TestLostInputs(t *testing.T) {
	wo := newTestSite(t, 1)
	pool, _, glue := wo.addStageUpstreams()
	wo.waitReady()
	pool.Gone.Store(true)
	ca := wo.stagedCall()
	go func() {
		wo.waitFor(func() bool { return len(wo.log.Of(ca.id)) > 0 }, "not sent")
		pool.Gone.Store(false)
	}()
	wo.upstream("p2", "pool").Gone.Store(false)
	wo.waitReady()
	res, _ := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/staged/stream/", "")
	wo.assertStatus(http.StatusOK, res)
	wo.waitFor(func() bool { return glue.Held() == 0 }, "results are not released")
}

// A caller that leaves withdraws the stages of its request.
func TestCallerLeavesDuringStages(t *testing.T) {
	wo := newTestSite(t, 2)
	_, cut, _ := wo.addStageUpstreams()
	wo.waitReady()
	cut.Work.Store(int64(300 * time.Millisecond))
	ca := wo.stagedCall()
	ctx, cancel := context.WithCancel(context.Background())
	for _, en := range wo.entries {
		go func() {
			if res, err := wo.send(ctx, en, ca, http.MethodPost, "/staged/stream/", ""); err == nil {
				_ = res.Body.Close()
			}
		}()
	}
	wo.waitFor(func() bool { return len(wo.log.All()) > 0 }, "no stage was sent")
	cancel()
	wo.waitFor(func() bool { return wo.entries[0].flow.InFlight()+wo.entries[1].flow.InFlight() == 0 }, "the request goes on")
	wo.waitFor(func() bool { return cut.Held() == 0 }, "results are not released")
	assert.Empty(t, wo.log.Of(ca.id), "the engine was asked for a caller that left")
}

// The queue of a stage passes to another entry when its owner is killed, and
// the requests of the others are served.
func TestOwnerDies(t *testing.T) {
	wo := newTestSite(t, 3)
	_, cut, _ := wo.addStageUpstreams()
	wo.waitReady()
	cut.Work.Store(int64(50 * time.Millisecond))
	owner := wo.owner("cut")
	var group sync.WaitGroup
	for _, en := range wo.entries {
		if en == owner {
			continue
		}
		for range 4 {
			ca := wo.stagedCall()
			group.Go(func() {
				res, body := wo.roundTrip(en, ca, http.MethodPost, "/staged/stream/", "")
				assert.Equal(t, http.StatusOK, res.StatusCode, body)
			})
		}
	}
	wo.waitFor(func() bool { return len(wo.log.All()) > 0 }, "no stage was sent")
	owner.stop()
	group.Wait()
}

// The other entries hear that a queue is long, and that it is empty again.
func TestQueueLoadIsBroadcast(t *testing.T) {
	wo := newTestSite(t, 2)
	_, cut, _ := wo.addStageUpstreams()
	wo.waitReady()
	cut.Work.Store(int64(50 * time.Millisecond))
	owner, other := wo.owner("cut"), wo.entries[0]
	if owner == other {
		other = wo.entries[1]
	}
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() {
			ca := wo.call(site.HeaderPieces, "4,1", site.HeaderPieceKey, "k")
			wo.roundTrip(owner, ca, http.MethodPost, "/staged/stream/", "")
		})
	}
	wo.waitFor(func() bool { return other.broker.QueueWait("cut", time.Hour) > 0 }, "the load was not told")
	group.Wait()
	wo.waitFor(func() bool { return other.broker.QueueWait("cut", time.Hour) == 0 }, "the end of the load was not told")
}

// Jobs of an entry that is lost are withdrawn: it has brought them to another
// owner, or nobody waits for them.
func TestJobsOfALostPeer(t *testing.T) {
	wo := newTestSite(t, 2)
	_, cut, _ := wo.addStageUpstreams()
	wo.waitReady()
	cut.Work.Store(int64(100 * time.Millisecond))
	owner := wo.owner("cut")
	other := wo.entries[0]
	if owner == other {
		other = wo.entries[1]
	}
	for range 20 {
		go func() {
			ca := wo.call(site.HeaderPieces, "8,1", site.HeaderPieceKey, "k")
			if res, err := wo.send(context.Background(), other, ca, http.MethodPost, "/staged/stream/", ""); err == nil {
				_ = res.Body.Close()
			}
		}()
	}
	wo.waitFor(func() bool { return !owner.broker.Idle() }, "no job came")
	other.stop()
	wo.waitFor(owner.broker.Idle, "jobs of a lost peer wait on")
}

// owner returns the entry that owns the queue of a service.
func (wo *testSite) owner(service string) *testEntry {
	for _, en := range wo.entries {
		if !en.stopped && en.broker.Owns(service) {
			return en
		}
	}
	require.Fail(wo.t, "no owner")
	return nil
}

// Queues belong to the strong entries of a site, as all jobs of a service pass
// its owner, and to the others when no strong one is left.
func TestOwnersHaveCapacity(t *testing.T) {
	wo := newTestSite(t, 0)
	wo.addStageUpstreams()
	for range 4 {
		wo.startEntryWith(0.14, 10)
	}
	strong := wo.startEntryWith(0.8, 200)
	wo.waitReady()
	services := []string{"cut", "glue", "a", "b", "c", "d", "e", "f"}
	for _, service := range services {
		wo.waitFor(func() bool { return wo.owner(service) == strong }, "a weak entry owns service "+service)
	}
	strong.stop()
	wo.waitFor(func() bool { return wo.entries[0].mesh.LiveCount() == 4 && wo.entries[3].mesh.LiveCount() == 4 }, "the loss was not seen")
	assert.NotNil(t, wo.owner("cut"))
}

// An entry that leaves says so, hands its queues over, answers what it has,
// with a close, and refuses what comes too late to be finished.
func TestLeaving(t *testing.T) {
	wo := newTestSite(t, 2)
	wo.addStageUpstreams()
	up := wo.upstream("d1", "desk")
	wo.waitReady()
	up.Work.Store(int64(200 * time.Millisecond))
	leaver := wo.owner("cut")
	ca := wo.call()
	answered := make(chan *http.Response, 1)
	go func() {
		res, _ := wo.roundTrip(leaver, ca, http.MethodPost, "/order/", "")
		answered <- res
	}()
	wo.waitFor(func() bool { return wo.executions(ca) == 1 }, "not sent")
	leaver.Leave()
	assert.False(t, leaver.Ready())
	res := <-answered
	wo.assertStatus(http.StatusOK, res)
	res, _ = wo.roundTrip(leaver, wo.call(), http.MethodPost, "/order/", "")
	wo.assertStatus(http.StatusOK, res)
	assert.True(t, res.Close)
	wo.waitFor(func() bool { return !leaver.broker.Owns("cut") }, "the queue was not handed over")
	res, _ = wo.roundTrip(leaver, wo.stagedCall(), http.MethodPost, "/staged/stream/", "")
	wo.assertStatus(http.StatusOK, res)
}

// A request that still waits for its stages when its process has to end is
// refused, as it has not run.
func TestRefusedAtEndOfGrace(t *testing.T) {
	wo := newTestSite(t, 1)
	_, cut, _ := wo.addStageUpstreams()
	wo.waitReady()
	cut.Work.Store(int64(time.Minute))
	ca := wo.stagedCall()
	answered := make(chan *http.Response, 1)
	var body string
	go func() {
		var res *http.Response
		res, body = wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/staged/stream/", "")
		answered <- res
	}()
	wo.waitFor(func() bool { return len(wo.log.All()) > 0 }, "no stage was sent")
	wo.entries[0].Leave()
	wo.entries[0].flow.Finish()
	res := <-answered
	wo.assertStatus(http.StatusServiceUnavailable, res)
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
	assert.Contains(t, body, citronstream.CodeLeaving)
	assert.Empty(t, wo.log.Of(ca.id))
}

// A request whose upstream still works when its process has to end gets an
// answer that promises nothing.
func TestAnsweredAtEndOfGrace(t *testing.T) {
	wo := newTestSite(t, 1)
	up := wo.upstream("d1", "desk")
	wo.waitReady()
	up.Hang.Store(true)
	ca := wo.call()
	answered := make(chan *http.Response, 1)
	go func() {
		res, _ := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/order/", "")
		answered <- res
	}()
	wo.waitFor(func() bool { return wo.executions(ca) == 1 }, "not sent")
	wo.entries[0].Leave()
	wo.entries[0].flow.Finish()
	wo.entries[0].flow.Abandon()
	wo.assertStatus(http.StatusBadGateway, <-answered)
}

// An upstream that drains or whose row is removed gets no new requests.
func TestLeavingUpstream(t *testing.T) {
	wo := newTestSite(t, 2)
	one := wo.upstream("d1", "desk")
	wo.upstream("d2", "desk")
	wo.waitReady()
	wo.st.List(one, site.Draining)
	for _, en := range wo.entries {
		wo.waitFor(func() bool { return len(en.view.Members().Service("desk")) == 1 }, "the state is not known")
		for range 5 {
			ca := wo.call()
			wo.roundTrip(en, ca, http.MethodPost, "/order/", "")
			assert.Equal(t, "d2", wo.log.Of(ca.id)[0].Upstream)
		}
	}
}

// An entry that the store turns away hears from its peers of configurations,
// keys and leaving upstreams, also when it starts then.
func TestStoreUnavailableToOneEntry(t *testing.T) {
	wo := newTestSite(t, 2)
	one := wo.upstream("d1", "desk")
	wo.upstream("d2", "desk")
	wo.waitReady()
	for name, fault := range map[string]int32{"refuses": site.Refuses, "silent": site.Silent} {
		t.Run(name, func(t *testing.T) {
			alone := wo.entries[0]
			alone.door.Fault(fault)
			alone.door.CloseClientConnections()
			defer alone.door.Fault(site.Sound)
			version := alone.view.Routes().Version + 1
			wo.configure(int(version), "")
			wo.st.List(one, site.Draining)
			wo.waitFor(func() bool {
				return alone.view.Routes().Version == version && len(alone.view.Members().Service("desk")) == 1
			}, "the peers did not tell")
			wo.st.List(one, site.Ready)
			wo.waitFor(func() bool { return len(alone.view.Members().Service("desk")) == 2 }, "the peers did not tell")
		})
	}
}

// A lost write of the registration does no harm, and a dropped history is read anew.
func TestHistoryExpired(t *testing.T) {
	wo := newTestSite(t, 1)
	wo.upstream("d1", "desk")
	wo.waitReady()
	wo.entries[0].door.Fault(site.Refuses)
	wo.waitFor(func() bool { return wo.entries[0].follower.StoreDown() }, "the fault was not seen")
	wo.upstream("d2", "desk")
	wo.configure(2, "")
	wo.st.Forget()
	wo.entries[0].door.Fault(site.Sound)
	wo.waitFor(func() bool {
		return wo.entries[0].view.Members().Len() == 2 && wo.entries[0].view.Routes().Version == 2
	}, "not read anew")
}

// An answer of the store that comes slowly, as a large configuration over a
// slow link, is waited for as long as it comes.
func TestSlowLinkToTheStore(t *testing.T) {
	wo := newTestSite(t, 1)
	wo.upstream("d1", "desk")
	wo.waitReady()
	en := wo.entries[0]
	en.door.Fault(site.Trickles)
	wo.configure(2, "")
	wo.waitFor(func() bool { return en.view.Routes().Version == 2 }, "the configuration did not arrive")
	assert.False(t, en.follower.StoreDown())
}

// A content that has killed two upstreams is refused at all entries.
func TestPoison(t *testing.T) {
	wo := newTestSite(t, 2)
	for _, id := range []string{"d1", "d2", "d3"} {
		wo.upstream(id, "desk")
	}
	wo.waitReady()
	for round := range 2 {
		ca := wo.call()
		for _, up := range wo.upstreams {
			up.Reset.Store(true)
		}
		res, _ := wo.roundTrip(wo.entries[round], ca, http.MethodPost, "/order/poison", "")
		wo.assertStatus(http.StatusBadGateway, res)
		dead := wo.upstreams[wo.log.Of(ca.id)[0].Upstream]
		dead.CloseClientConnections()
		_ = dead.Listener.Close()
		for _, up := range wo.upstreams {
			up.Reset.Store(false)
		}
		wo.waitFor(func() bool {
			_, deaths := wo.entries[0].holds.Len()
			_, others := wo.entries[1].holds.Len()
			return deaths == round+1 && others == round+1
		}, "the death was not told")
	}
	for _, en := range wo.entries {
		ca := wo.call()
		res, _ := wo.roundTrip(en, ca, http.MethodPost, "/order/poison", "")
		wo.assertStatus(http.StatusServiceUnavailable, res)
		assert.Empty(t, wo.log.Of(ca.id))
	}
}
