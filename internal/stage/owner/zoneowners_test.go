package owner

import (
	"context"
	"flag"
	"fmt"
	"math"
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
)

// Load pattern: arrivals in waves by zone, out of phase, at a stage with upstreams in all
// zones.

const (
	waveZones  = 3
	wavePeriod = 15 * time.Second
	waveSpan   = wavePeriod
	waveDepth  = 0.55
)

var zoneSeeds = flag.Int("zones.seeds", 1, "seeds of the owners by zone")

// zoneOwners says which owners a stage has.
type zoneOwners struct {
	name   string
	count  int
	shared bool // each owner may use the upstreams of all zones
	// crossBytes of a result count as traffic between zones; above freeCrossBytes a job stays
	// in its zone while it has time.
	crossBytes int
}

// wavePlay is what became of the jobs.
type wavePlay struct {
	jobs, inTime, late, failed int
	pieces, crossed, batches   int
}

func playZoneOwners(t *testing.T, rule zoneOwners, load float64, seed uint64) (wp wavePlay) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 2))
		clk := clockwork.NewRealClock() // of the bubble
		begin := clk.Now()
		ss := &sharedService{clk: clk, upstreams: make(map[string]*sharedUpstream)}
		ctx, cancel := context.WithCancel(context.Background())
		var ticks sync.WaitGroup
		var all []*Owner
		var nodes []map[string]*node.Node
		zoneOf := func(at int) string { return fmt.Sprint("z", at%waveZones) }
		for at := range rule.count {
			byID := make(map[string]*node.Node)
			var list []*node.Node
			for i := range unevenUpstreams + 1 {
				nd := node.New(citronstream.Member{ID: fmt.Sprint("u", i), Zone: zoneOf(i), Service: "s"}, node.WithClock(clk))
				ss.upstreams[nd.ID] = &sharedUpstream{}
				if rule.count == 1 || rule.shared || i%waveZones == at {
					list, byID[nd.ID] = append(list, nd), nd
				}
			}
			ow := New(ctx, clk, logr.Discard(), "s", unevenSpec, &ownerOf{sharedService: ss, says: truthful, begin: begin}, &shareBudget{left: 50})
			ow.Replace(list)
			all, nodes = append(all, ow), append(nodes, byID)
			ticks.Go(func() { tick(ctx, clk, ow) })
		}
		var mu sync.Mutex
		rate := load * float64((unevenUpstreams+1)*unevenSpec.Items) / expected(&unevenSpec, unevenSpec.Items).Seconds()
		slacks := []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second}
		for at := time.Duration(0); at < waveSpan; {
			clk.Sleep(at - clk.Since(begin))
			zone, draw := 0, random.Float64()*waveZones
			for ; zone < waveZones-1; zone++ {
				share := 1 + waveDepth*math.Sin(2*math.Pi*(at.Seconds()/wavePeriod.Seconds()+float64(zone)/waveZones))
				if draw < share {
					break
				}
				draw -= share
			}
			uj := unevenJob{at, slacks[random.IntN(len(slacks))], 1 + random.IntN(4)}
			wp.jobs++
			wp.pieces += uj.pieces
			owns := zone % rule.count
			jo := newJob(fmt.Sprint(wp.jobs), uj.pieces, func(jo *citronstream.Job) {
				jo.Slack, jo.RouteRank = uj.slack, int(uj.slack/time.Second)
				jo.Zone, jo.CrossZoneBytes = zoneOf(zone), uj.pieces*rule.crossBytes
			})
			all[owns].Submit(jo, func(re citronstream.JobResult) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case re.Fault != nil:
					wp.failed++
				case clk.Since(begin) <= uj.due():
					wp.inTime++
				default:
					wp.late++
				}
				for _, handle := range re.Handles {
					if id, _, _ := strings.Cut(handle, "/"); nodes[owns][id].Zone != jo.Zone {
						wp.crossed++
					}
				}
				clk.AfterFunc(100*time.Millisecond, func() {
					all[owns].Release(re.Handles, 100, func(handle string) *node.Node {
						id, _, _ := strings.Cut(handle, "/")
						return nodes[owns][id]
					})
				})
			}, func() {})
			at += time.Duration(random.ExpFloat64() * float64(uj.pieces) / rate * float64(time.Second))
		}
		clk.Sleep(15 * time.Second)
		for _, ow := range all {
			wp.batches += int(ow.Counts().Batches)
		}
		cancel()
		for _, ow := range all {
			ow.Wait()
		}
		ticks.Wait()
	})
	return wp
}

// Guards against the choice of one owner for each service where one for each zone would serve
// more in time.
func TestOwnersByZone(t *testing.T) {
	for _, load := range []float64{0.7, 1.1} {
		for _, crossBytes := range []int{1000, 30_000} {
			t.Run(fmt.Sprintf("load %v, %d bytes", load, crossBytes), func(t *testing.T) {
				served := make(map[string]int)
				for _, rule := range []zoneOwners{{"one owner", 1, false, crossBytes}, {"one a zone", waveZones, false, crossBytes}, {"one a zone, all upstreams", waveZones, true, crossBytes}} {
					var sum wavePlay
					for seed := range uint64(*zoneSeeds) {
						wp := playZoneOwners(t, rule, load, seed+1)
						sum.jobs += wp.jobs
						sum.inTime += wp.inTime
						sum.late += wp.late
						sum.failed += wp.failed
						sum.pieces += wp.pieces
						sum.crossed += wp.crossed
						sum.batches += wp.batches
					}
					served[rule.name] = sum.inTime
					t.Logf("%s: %+v", rule.name, sum)
				}
				assert.GreaterOrEqual(t, 1.002*float64(served["one owner"]), float64(served["one a zone"])) // 3 jobs: runs of a seed differ
				assert.GreaterOrEqual(t, served["one owner"], served["one a zone, all upstreams"])
			})
		}
	}
}
