package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// zoneJob is an arrival with a zone.
type zoneJob struct {
	unevenJob
	zone int
}

const replayZones = 3

// surge returns jobs of which a share asks for the first zone.
func surge(seed uint64, load, share float64) (list []zoneJob) {
	random := rand.New(rand.NewPCG(seed, 0))
	rate := load * unevenUpstreams * float64(unevenSpec.Items) / expected(&unevenSpec, unevenSpec.Items).Seconds()
	for _, uj := range unevenJobs(random, rate) {
		zone := 0
		if random.Float64() >= share {
			zone = 1 + random.IntN(replayZones-1)
		}
		list = append(list, zoneJob{uj, zone})
	}
	return list
}

// playZones plays jobs with large results and returns how many were in time and how many
// pieces crossed zones. Rule replaces that of the owner if it is not nil.
func playZones(t *testing.T, list []zoneJob, rule func(ow *Owner) func(zo *zone, jb *job, now time.Time) bool) (inTime, crossed int) {
	synctest.Test(t, func(t *testing.T) {
		clk := clockwork.NewRealClock() // of the bubble
		us := &unevenService{clk: clk, begin: clk.Now(), paces: make(map[string]*paces), turn: make(map[string]chan struct{})}
		var nodes []*node.Node
		zones := make(map[string]string)
		for i := range unevenUpstreams {
			nd := upstream(fmt.Sprint("u", i), fmt.Sprint("z", i%replayZones))
			us.paces[nd.ID], us.turn[nd.ID] = newPaces(nil, &uneven{usual: alike}, i), make(chan struct{}, 1)
			us.turn[nd.ID] <- struct{}{}
			nodes, zones[nd.ID] = append(nodes, nd), nd.Zone
		}
		ctx, cancel := context.WithCancel(context.Background())
		ow := New(ctx, clk, logr.Discard(), "s", unevenSpec, us, &budget{left: 1 << 20})
		if rule != nil {
			ow.leaves = rule(ow)
		}
		ow.Replace(nodes)
		ticks := make(chan struct{})
		go func() {
			defer close(ticks)
			tick(ctx, clk, ow)
		}()
		var mu sync.Mutex
		done := 0
		for i, zj := range list {
			clk.Sleep(zj.at - clk.Since(us.begin))
			zone := fmt.Sprint("z", zj.zone)
			jo := newJob(fmt.Sprint(i), zj.pieces, func(jo *citronstream.Job) {
				jo.Slack, jo.RouteRank, jo.Zone, jo.CrossZoneBytes = zj.slack, int(zj.slack/time.Second), zone, zj.pieces*100<<10
			})
			ow.Submit(jo, func(re citronstream.JobResult) {
				mu.Lock()
				defer mu.Unlock()
				done++
				if re.Fault == nil && clk.Since(us.begin) <= zj.due() {
					inTime++
				}
				for _, handle := range re.Handles {
					if id, _, _ := strings.Cut(handle, "/"); zones[id] != zone {
						crossed++
					}
				}
			}, func() {})
		}
		clk.Sleep(15 * time.Second)
		mu.Lock()
		require.Equal(t, len(list), done)
		mu.Unlock()
		cancel()
		ow.Wait()
		<-ticks
	})
	return inTime, crossed
}

// Guards against results that cross zones, which is billed, though an upstream of their
// zone would have begun in time, and against requests that are late to save that.
func TestSurgeFromOneZone(t *testing.T) {
	for _, share := range []float64{1.0 / 3, 0.5} {
		for _, load := range []float64{0.5, 0.7, 0.9} {
			t.Run(fmt.Sprintf("share %.2f, load %v", share, load), func(t *testing.T) {
				list := surge(1, load, share)
				pieces := 0
				var plain []unevenJob
				for _, zj := range list {
					pieces += zj.pieces
					plain = append(plain, zj.unevenJob)
				}
				var all []*paces
				for i := range unevenUpstreams {
					all = append(all, newPaces(nil, &uneven{usual: alike}, i))
				}
				before, crossedBefore := playZones(t, list, func(ow *Owner) func(*zone, *job, time.Time) bool {
					return func(_ *zone, jb *job, now time.Time) bool { return ow.hasLittleTime(jb, now) }
				})
				after, crossed := playZones(t, list, nil)
				best := offline(plain, all)
				t.Logf("%d jobs, %d pieces; in time: old rule %d, new rule %d, offline schedule %d without regard to zones; pieces that crossed: %d, %d", len(list), pieces, before, after, best, crossedBefore, crossed)
				assert.GreaterOrEqual(t, float64(after), 0.99*float64(before))
				assert.GreaterOrEqual(t, float64(after), 0.85*float64(best))
				assert.LessOrEqual(t, crossed, crossedBefore)
			})
		}
	}
}

// Guards against a job that leaves its zone as others wait there that run after it, and
// one that stays behind those before it.
func TestZoneStart(t *testing.T) {
	now := time.Unix(1e9, 0)
	zo := &zone{free: []time.Time{now, now.Add(100 * time.Millisecond)}, full: 400 * time.Millisecond, items: 10}
	for ahead, want := range map[int]time.Duration{0: 0, 9: 0, 10: 100 * time.Millisecond, 20: 400 * time.Millisecond, 35: 500 * time.Millisecond} {
		assert.Equal(t, want, zo.start(ahead).Sub(now), ahead)
	}
}
