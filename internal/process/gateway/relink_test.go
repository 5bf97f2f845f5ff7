package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/stage/owner"
	"github.com/stretchr/testify/assert"
)

// When the links between entries are reset, the owner of a queue lives and its work
// goes on. It must be neither given up nor started again: each item that a stage
// upstream gets is new.
func TestJobsOutliveTheirLinks(t *testing.T) {
	ts := newTestSite(t, 2)
	_, cut, _ := ts.addStageUpstreams()
	ts.waitReady()
	cut.Work.Store(int64(300 * time.Millisecond))
	_, other := ts.ownerAndOther("cut")
	const calls = 4
	var group sync.WaitGroup
	for range calls {
		ca := ts.stagedCall()
		group.Go(func() {
			res, body := ts.roundTrip(other, ca, http.MethodPost, "/staged/stream/", "")
			assert.Equal(t, http.StatusOK, res.StatusCode, body)
		})
	}
	ts.waitFor(func() bool { return len(ts.log.All()) > 0 }, "no stage was sent")
	for _, en := range ts.entries {
		for _, pe := range en.mesh.Peers() {
			if li := pe.Link(); li != nil {
				li.Close()
			}
		}
	}
	group.Wait()
	items := 0
	for _, ar := range ts.log.All() {
		if ar.Upstream == cut.ID && ar.Method == http.MethodPost {
			items += strings.Count(ar.Body, `"piece":`)
		}
	}
	assert.Equal(t, 2*calls, items)
}

// Work that comes while the link to its owner is being replaced waits for it. A second
// owner beside the first would get smaller batches, and results for which it does not
// know the memory.
func TestNewJobsWaitForTheirOwner(t *testing.T) {
	ts := newTestSite(t, 2)
	ts.addStageUpstreams()
	ts.waitReady()
	_, other := ts.ownerAndOther("cut")
	for range 5 {
		for _, pe := range other.mesh.Peers() {
			if li := pe.Link(); li != nil {
				li.Close()
			}
		}
		res, body := ts.roundTrip(other, ts.stagedCall(), http.MethodPost, "/staged/stream/", "")
		assert.Equal(t, http.StatusOK, res.StatusCode, body)
		ts.waitFor(func() bool { return other.mesh.LiveCount() == 2 }, "the link is not replaced")
	}
	other.broker.Each(func(service string, ow *owner.Owner) {
		if service == "cut" {
			assert.Zero(t, ow.Counts().Items, "pieces of a second owner")
		}
	})
}
