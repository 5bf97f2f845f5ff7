package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
)

// A stream that would be cut at its caller's deadline is refused at once, and no work is
// done for it. Load pattern: after all entries were lost, callers that had waited for
// them come back with little time left; their stages were computed and their streams cut.
func TestTooLittleTimeForTheStream(t *testing.T) {
	ts := newTestSite(t, 1)
	engine, _, glue := ts.addStageUpstreams()
	ts.waitReady()
	en := ts.entries[0]
	engine.Events.Store(4)
	engine.Gap.Store(int64(100 * time.Millisecond))
	glue.Work.Store(int64(300 * time.Millisecond))
	for range 10 { // so many until the time of a stream is known well
		res, _ := ts.roundTrip(en, ts.stagedCall(), http.MethodPost, "/staged/stream/", "")
		ts.assertStatus(http.StatusOK, res)
	}
	batches := func() (count int) {
		for _, ar := range ts.log.All() {
			if ar.Target == site.PathBatch {
				count++
			}
		}
		return count
	}
	before := batches()
	ca := ts.stagedCall()
	ca.header.Set(site.HeaderLeft, "400") // the stages take 0.3 s, the stream as long again
	res, _ := ts.roundTrip(en, ca, http.MethodPost, "/staged/stream/", "")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	assert.Equal(t, before, batches())
}
