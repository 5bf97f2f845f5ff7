package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/citronstream/citronstream/internal/stage/owner"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
)

// eastRoutes are routes that are restricted to the region east, which has the zone z.
const eastRoutes = `,
{"name":"east","host":"h","prefix":"/east/","kind":"safe","timeout-ms":3000,"target-latency-ms":300,"service":"desk","max-attempts":2,"allowed-regions":["east"]},
{"name":"eaststaged","host":"h","prefix":"/eaststaged/stream/","kind":"streaming","timeout-ms":8000,"target-latency-ms":6000,"service":"pool","max-attempts":2,"resume-streams":true,"gap-target-ms":500,"allowed-regions":["east"],
 "stages":[{"service":"cut","after":[],"bytes":100},{"service":"glue","after":[0],"bytes":100}]}`

// newRegionSite returns a site of two regions with an entry in each, that in the east first.
func newRegionSite(t *testing.T) *testSite {
	ts := newTestSite(t, 0)
	ts.regions = map[string]string{"z": "east", "y": "west"}
	ts.configure(2, eastRoutes)
	ts.startEntry()
	ts.zone = "y"
	ts.startEntry()
	return ts
}

// upstreamIn starts an upstream in a zone and registers it.
func (ts *testSite) upstreamIn(zone, id, service string) *site.Upstream {
	up := site.NewUpstream(ts.clk, ts.log, id, service)
	up.Zone = zone
	ts.upstreams[id] = up
	ts.st.List(up, site.Ready)
	return up
}

// assertRanAt checks that requests are served by one upstream, and by which.
func (ts *testSite) assertRanAt(upstream, target string) {
	ts.t.Helper()
	for range 10 {
		for _, en := range ts.entries {
			ca := ts.call()
			res, _ := ts.roundTrip(en, ca, http.MethodGet, target, "")
			ts.assertStatus(http.StatusOK, res)
			for _, ar := range ts.log.Of(ca.id) {
				assert.Equal(ts.t, upstream, ar.Upstream)
			}
		}
	}
}

// assertNotRun checks that requests to a target are refused and sent to no upstream.
func (ts *testSite) assertNotRun(target string) {
	ts.t.Helper()
	for _, en := range ts.entries {
		ca := ts.call()
		res, _ := ts.roundTrip(en, ca, http.MethodGet, target, "")
		ts.assertStatus(http.StatusServiceUnavailable, res)
		assert.NotEmpty(ts.t, res.Header.Get("Retry-After"))
		assert.Empty(ts.t, ts.log.Of(ca.id))
	}
}

// Guards against requests that leave the regions of their route or workspace.
func TestAllowedRegions(t *testing.T) {
	ts := newRegionSite(t)
	east := ts.upstreamIn("z", "d1", "desk")
	ts.upstreamIn("y", "d2", "desk")
	ts.waitReady()
	ts.assertRanAt("d1", "/east/x")
	allow := func(version, text string) {
		value := strings.Replace(ts.st.Value("op", "config"), `"api-keys":["key"]`, `"api-keys":["key"],"allowed-regions":`+text, 1)
		ts.st.Put("op", "config", strings.Replace(value, `"version":2`, `"version":`+version, 1))
		ts.waitFor(func() bool {
			for _, en := range ts.entries {
				if len(en.view.Routes().Keys["key"].Regions) == 0 {
					return false
				}
			}
			return true
		}, "the configuration is not in force")
	}
	t.Run("of the workspace", func(t *testing.T) {
		allow("3", `["west"]`)
		ts.assertRanAt("d2", "/look/x")
	})
	t.Run("of both", func(*testing.T) { ts.assertNotRun("/east/x") })
	t.Run("without an upstream", func(*testing.T) {
		ts.configure(4, eastRoutes)
		ts.waitFor(func() bool {
			return ts.entries[0].view.Routes().Version == 4 && ts.entries[1].view.Routes().Version == 4
		}, "the configuration is not in force")
		ts.st.List(east, site.Draining)
		for _, en := range ts.entries {
			ts.waitFor(func() bool { return len(en.view.Members().Service("desk")) == 1 }, "the upstream still takes work")
		}
		ts.assertNotRun("/east/x")
	})
}

// Guards against retries that leave the allowed regions.
func TestRetryInAllowedRegion(t *testing.T) {
	ts := newRegionSite(t)
	ts.upstreamIn("z", "d1", "desk").Refuse.Store(true)
	ts.upstreamIn("y", "d2", "desk")
	ts.waitReady()
	ca := ts.call()
	res, _ := ts.roundTrip(ts.entries[0], ca, http.MethodGet, "/east/x", "")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	for _, ar := range ts.log.Of(ca.id) {
		assert.Equal(t, "d1", ar.Upstream)
	}
}

// owners returns which entries have had jobs of a queue.
func (ts *testSite) owners(queue string) (list []*testEntry) {
	for _, en := range ts.entries {
		en.broker.Each(func(name string, _ *owner.Owner) {
			if name == queue {
				list = append(list, en)
			}
		})
	}
	return list
}

// Guards against jobs that go to an owner or an upstream in another region, and against a
// request that is not served as the gateway to which its client connected is the only one.
func TestStagesInAllowedRegions(t *testing.T) {
	ts := newRegionSite(t)
	ts.addStageUpstreams()
	for _, service := range []string{"cut", "glue", "pool"} {
		ts.upstreamIn("y", "west-"+service, service)
	}
	ts.waitReady()
	east, west := ts.entries[0], ts.entries[1]
	assertServed := func(en *testEntry) {
		for range 3 {
			ca := ts.call(site.HeaderPieces, "2,1")
			res, _ := ts.roundTrip(en, ca, http.MethodGet, "/eaststaged/stream/x", "")
			ts.assertStatus(http.StatusOK, res)
		}
		for _, ar := range ts.log.All() {
			assert.NotContains(t, ar.Upstream, "west-")
		}
	}
	assertServed(east)
	assertServed(west)
	assert.Equal(t, []*testEntry{east}, ts.owners("cut@east"))
	assert.Equal(t, []*testEntry{east}, ts.owners("glue@east"))
	east.stop()
	ts.waitFor(func() bool { return west.mesh.LiveCount() == 1 }, "the entry is not missed")
	assertServed(west)
	assert.Contains(t, ts.owners("cut@east"), west)
}
