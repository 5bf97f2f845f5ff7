package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A stream whose upstream is silent for longer than the route's longest gap goes on to its
// end when no other upstream may take it over. Guards against giving up an upstream
// before it is known that another one can be tried.
func TestSilentUpstreamWithoutReplacement(t *testing.T) {
	cases := []struct {
		name      string
		upstreams []string
		extra     int
	}{
		{"no other upstream", []string{"e1"}, 50},
		{"no retry budget", []string{"e1", "e2"}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ts := newTestSite(t, 0)
			ts.bounds.RetryExtra = tc.extra
			ts.startEntry()
			for _, id := range tc.upstreams {
				up := ts.upstream(id, "pool")
				up.Events.Store(2)
				up.Gap.Store(int64(silence))
			}
			ts.waitReady()
			ca := ts.call()
			res, body := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
			ts.assertStatus(http.StatusOK, res)
			assert.Contains(t, body, "token 2")
			assert.Equal(t, 1, ts.executions(ca))
		})
	}
}

// silence is longer than the pause after which the streams of the tests are resumed
// elsewhere.
const silence = 2500 * time.Millisecond
