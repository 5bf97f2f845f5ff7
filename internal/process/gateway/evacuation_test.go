package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
)

// evacuation is the key of the row that evacuates the zone of all upstreams.
const evacuation = "evacuate/z"

func (ts *testSite) assertEvacuated(entries []*testEntry, evacuated bool, text string) {
	ts.t.Helper()
	for _, en := range entries {
		ts.waitFor(func() bool { return (len(en.view.Members().Service("desk")) == 0) == evacuated }, text)
	}
}

// assertRefused checks that a request is answered as not run, and did not run.
func (ts *testSite) assertRefused(en *testEntry) {
	ts.t.Helper()
	ca := ts.call()
	res, _ := ts.roundTrip(en, ca, http.MethodPost, "/order/x", "order")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	assert.Zero(ts.t, ts.executions(ca))
}

// Guards against entries that send requests to the upstreams of an evacuated zone, also
// ones that leave the store to others, and against a zone that is never taken back.
func TestEvacuation(t *testing.T) {
	ts, _ := newSiteWithListeners(t)
	ts.st.Put("op", evacuation, "{}")
	ts.assertEvacuated(ts.entries, true, "an evacuation is not heard of")
	ts.assertRefused(ts.entries[0])
	ts.st.Remove("op", evacuation)
	ts.assertEvacuated(ts.entries, false, "the end of an evacuation is not heard of")
	res, _ := ts.roundTrip(ts.entries[0], ts.call(), http.MethodPost, "/order/x", "order")
	ts.assertStatus(http.StatusOK, res)
}

// Guards against an evacuation that ends too early while the store is away, or never when
// it returns without its history.
func TestStoreIsAwayAtTheEndOfAnEvacuation(t *testing.T) {
	ts := newTestSite(t, 2)
	ts.upstream("d1", "desk")
	ts.waitReady()
	ts.st.Put("op", evacuation, "{}")
	ts.assertEvacuated(ts.entries, true, "an evacuation is not heard of")
	for _, en := range ts.entries {
		en.door.Fault(site.Refuses)
		ts.waitFor(en.follower.StoreDown, "the store is not missed")
	}
	ts.st.Remove("op", evacuation)
	ts.st.Forget()
	for _, en := range ts.entries {
		ts.assertRefused(en)
		en.door.Fault(site.Sound)
	}
	ts.assertEvacuated(ts.entries, false, "the zone is not taken back when the store returns")
}

// Guards against a gateway that starts without the store and uses the upstreams of a zone
// whose evacuation its peers know of.
func TestStartDuringAnEvacuation(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.waitReady()
	ts.st.Put("op", evacuation, "{}")
	ts.assertEvacuated(ts.entries, true, "an evacuation is not heard of")
	late := ts.startEntryWithoutStore()
	ts.waitFor(func() bool { return late.view.Members().Len() == 1 && late.view.Routes() != nil }, "peers don't tell their rows")
	ts.assertEvacuated([]*testEntry{late}, true, "peers don't tell of the evacuation")
	ts.assertRefused(late)
	ts.st.Remove("op", evacuation)
	ts.assertEvacuated(ts.entries, false, "peers don't tell of its end")
}

// Guards against a gateway that the store turns away and that misses an evacuation or its
// end, which its peers know of.
func TestCutOffDuringAnEvacuation(t *testing.T) {
	ts := newTestSite(t, 3)
	ts.upstream("d1", "desk")
	ts.waitReady()
	cutOff := ts.entries[2]
	cutOff.door.Fault(site.Refuses)
	ts.waitFor(cutOff.follower.StoreDown, "the store is not missed")
	ts.st.Put("op", evacuation, "{}")
	ts.assertEvacuated(ts.entries, true, "peers don't tell of the evacuation")
	ts.assertRefused(cutOff)
	ts.st.Remove("op", evacuation)
	ts.assertEvacuated(ts.entries, false, "peers don't tell of its end")
}

// Guards against load that leaves an evacuated zone at once although there is time, and
// against a gateway that hears of the evacuation at its start and takes part in the move.
func TestEvacuationWithARamp(t *testing.T) {
	ts := newTestSite(t, 0)
	ts.bounds.Evacuate = 10 * time.Minute
	ts.startEntry()
	ts.upstream("d1", "desk")
	ts.waitReady()
	en := ts.entries[0]
	ts.waitFor(func() bool { return !en.evacKnown.Load().At(ts.clk.Now(), en.suspended()).IsZero() }, "the age of the table is not known")
	ts.st.Put("op", evacuation, "{}")
	ts.assertEvacuated(ts.entries, true, "an evacuation is not heard of")
	assert.Greater(t, en.ramp.Share("z"), 0.0)
	ts.waitFor(func() bool {
		res, _ := ts.roundTrip(en, ts.call(), http.MethodPost, "/order/x", "order")
		return res.StatusCode == http.StatusOK
	}, "all requests leave the zone at once")
	late := ts.startEntry()
	ts.waitFor(func() bool { return late.view.Members().Len() == 1 && late.view.Routes() != nil }, "the entry that starts knows no upstream")
	assert.Zero(t, late.ramp.Share("z"))
	ts.assertRefused(late)
	ts.st.Remove("op", evacuation)
	ts.assertEvacuated(ts.entries, false, "the end of an evacuation is not heard of")
	assert.Zero(t, en.ramp.Share("z"))
}
