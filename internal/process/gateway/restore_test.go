package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/fleet/snapshot"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
)

// Guards against a gateway that starts after an outage of the store and serves nothing
// until the upstreams have written their expired rows again.
func TestStartAfterAnOutage(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.waitReady()
	ts.waitFor(func() bool { return ts.st.Value("Snapshots", "Upstreams") != "" }, "no snapshot "+snapshot.Key+" is written")
	ts.entries[0].stop()
	ts.st.Remove("servers", "d1")
	door := ts.st.Open()
	door.Fault(site.Refuses)
	late := ts.startEntryAt(door, 0, 0)
	ts.waitFor(late.follower.StoreDown, "the store is not missed")
	door.Fault(site.Sound)
	ts.waitFor(func() bool { return len(late.view.Members().Service("desk")) == 1 }, "the upstream of before is not used")
	res, _ := ts.roundTrip(late, ts.call(), http.MethodPost, "/order/x", "order")
	ts.assertStatus(http.StatusOK, res)
	ts.waitFor(func() bool { return len(late.view.Members().Service("desk")) == 0 }, "an upstream whose row is not back stays in use")
}

// Guards against upstreams of a snapshot that are used though the store was never away:
// their removal is proven then.
func TestStartOnASoundStore(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.upstream("d2", "desk")
	ts.waitReady()
	ts.waitFor(func() bool { return ts.st.Value("Snapshots", "Upstreams") != "" }, "no snapshot is written")
	ts.entries[0].stop()
	ts.st.Remove("servers", "d1")
	late := ts.startEntry()
	ts.waitFor(late.Ready, "the entry is not ready")
	ts.clk.Sleep(100 * time.Millisecond)
	assert.Len(t, late.view.Members().Service("desk"), 1, "an upstream that was removed is used")
}

// Guards against a gateway that starts just after the store's return, notices no outage and
// serves nothing until the upstreams have written their expired rows again.
func TestStartJustAfterAnOutage(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.waitReady()
	ts.waitFor(func() bool { return ts.st.Value("Snapshots", "Upstreams") != "" }, "no snapshot is written")
	ts.entries[0].stop()
	ts.st.Remove("servers", "d1")
	late := ts.startEntry()
	ts.waitFor(func() bool { return len(late.view.Members().Service("desk")) == 1 }, "the upstream of before is not used")
	ts.waitFor(late.Ready, "the entry is not ready")
	res, _ := ts.roundTrip(late, ts.call(), http.MethodPost, "/order/x", "order")
	ts.assertStatus(http.StatusOK, res)
	ts.waitFor(func() bool { return len(late.view.Members().Service("desk")) == 0 }, "an upstream whose row is not back stays in use")
}
