package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/fleet/wakeup"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
)

// An entry that was paused reads the tables before it acts on them. Guards against
// requests that stand in its sockets and are served with a key that was revoked, or by an
// upstream that began to leave, while it did not run.
func TestPausedEntryReadsAgain(t *testing.T) {
	ts := newTestSite(t, 1)
	leaving := ts.upstream("d1", "desk")
	ts.upstream("d2", "desk")
	ts.waitReady()
	en := ts.entries[0]
	var suspended atomic.Int64
	gate := wakeup.New(ts.clk, logr.Discard(), func() time.Duration { return time.Duration(suspended.Load()) }, en.readAgain)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		gate.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	en.flow.Pass = gate.Pass

	// The reads in flight hear of nothing any more, as those of a paused process.
	before := en.door.Calls()
	en.door.Fault(site.Silent)
	en.door.CloseClientConnections()
	ts.waitFor(func() bool { return en.door.Calls() >= before+2 }, "the tables are not read")
	en.door.Fault(site.Sound)
	ts.st.List(leaving, site.Draining)
	ts.st.Put("op", "config", strings.Replace(strings.Replace(ts.st.Value("op", "config"), `"version":1`, `"version":2`, 1), `"key"`, `"new"`, 1))
	suspended.Store(int64(3 * time.Second))

	res, _ := ts.roundTrip(en, ts.call(), http.MethodPost, "/order/", "")
	ts.assertStatus(http.StatusUnauthorized, res)
	for range 10 {
		res, _ := ts.roundTrip(en, ts.call(site.HeaderKey, "Token new"), http.MethodPost, "/order/", "")
		ts.assertStatus(http.StatusOK, res)
	}
	for _, ar := range ts.log.All() {
		assert.NotEqual(t, leaving.ID, ar.Upstream)
	}
}
