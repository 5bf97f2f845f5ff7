package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
)

// crossed is a route in which two stages take the results of stage 1.
const crossed = `,{"name":"crossed","host":"h","prefix":"/crossed/stream/","kind":"streaming","timeout-ms":12000,"target-latency-ms":9000,"service":"pool","max-attempts":2,"resume-streams":true,"gap-target-ms":500,
"stages":[{"service":"cut","after":[],"bytes":100},{"service":"glue","after":[],"bytes":100},{"service":"trim","after":[],"bytes":100},
{"service":"glue","after":[0,1],"bytes":100},{"service":"cut","after":[1,2],"bytes":100},{"service":"trim","after":[3,4],"bytes":100}]}`

// crossedAfter has the stages whose results each stage of crossed takes.
var crossedAfter = [][]int{{}, {}, {}, {0, 1}, {1, 2}, {3, 4}}

// crossedPieces are the pieces of each stage.
var crossedPieces = []int{1, 1, 3, 1, 1, 1}

// newCrossedSite starts a site whose upstreams fetch the inputs of their stages from each
// other.
func newCrossedSite(t *testing.T, entries int) *testSite {
	ts := newTestSite(t, entries)
	ts.log.Fetch.Store(true)
	ts.configure(2, crossed)
	ts.upstream("p1", "pool")
	ts.waitFor(func() bool {
		return !slices.ContainsFunc(ts.entries, func(en *testEntry) bool {
			routes := en.view.Routes()
			return routes == nil || routes.Version != 2
		})
	}, "the configuration is not in force")
	return ts
}

func (ts *testSite) crossedCall() *call {
	var pieces []string
	for _, count := range crossedPieces {
		pieces = append(pieces, strconv.Itoa(count))
	}
	return ts.call(site.HeaderPieces, strings.Join(pieces, ","), site.HeaderPieceKey, "k", site.HeaderTokens, "10,5")
}

// pausing adds an upstream whose batches wait in pause.
func (ts *testSite) pausing(id, service string, pause func(ctx context.Context, it site.Item)) *site.Upstream {
	up := site.NewUpstream(ts.clk, ts.log, id, service)
	up.Pause = pause
	ts.upstreams[id] = up
	ts.st.List(up, site.Ready)
	return up
}

// items returns the pieces of a stage that an upstream was asked for.
func (ts *testSite) items(upstream string, stage int) (list []site.Item) {
	for _, ar := range ts.log.All() {
		if ar.Target != site.PathBatch || ar.Upstream != upstream {
			continue
		}
		var batch struct{ Items []site.Item }
		assert.NoError(ts.t, json.Unmarshal([]byte(ar.Body), &batch))
		for _, it := range batch.Items {
			if it.Stage == stage {
				list = append(list, it)
			}
		}
	}
	return list
}

// assertWhole checks that inputs are the results of all pieces of some stages of a
// request, each once.
func (ts *testSite) assertWhole(id string, inputs []string, stages []int, where string) {
	ts.t.Helper()
	var want, got []string
	for _, stage := range stages {
		for piece := range crossedPieces[stage] {
			want = append(want, fmt.Sprintf("%s stage %d piece %d", id, stage, piece))
		}
	}
	for _, handle := range inputs {
		it, _ := ts.log.Result(handle)
		got = append(got, fmt.Sprintf("%s stage %d piece %d", it.ID, it.Stage, it.Piece))
	}
	assert.ElementsMatch(ts.t, want, got, where)
}

// assertInputsWhole checks the inputs of all pieces and runs so far.
func (ts *testSite) assertInputsWhole() {
	ts.t.Helper()
	for id := range ts.upstreams {
		for stage, after := range crossedAfter {
			for _, it := range ts.items(id, stage) {
				ts.assertWhole(it.ID, it.Inputs, after, fmt.Sprintf("stage %d at %s", stage, id))
			}
		}
	}
	for _, ar := range ts.log.All() {
		if ar.Ran {
			ts.assertWhole(ar.ID, strings.Split(ar.Header.Get(site.HeaderInputs), ","), []int{5}, "request")
		}
	}
}

// Guards against a stage that runs again with some of its inputs missing: those that were
// released once their upstreams were assumed to have read them.
func TestInputsAfterCrash(t *testing.T) {
	// The upstream that runs stage 3 of a request, and holds its result of stage 1, crashes
	// once the result of stage 0 is released. Stage 4 takes that of stage 1 as well, before
	// the crash or after it.
	play := func(name string, takenBefore bool) {
		t.Run(name, func(t *testing.T) {
			ts := newCrossedSite(t, 2)
			ended := make(chan struct{})
			stage4MayRun := make(chan struct{})
			wait := func(ctx context.Context, until chan struct{}) {
				select {
				case <-until:
				case <-ctx.Done():
				}
			}
			cut := ts.upstream("c1", "cut")
			ts.pausing("t1", "trim", func(ctx context.Context, it site.Item) {
				if it.Stage == 2 {
					wait(ctx, stage4MayRun)
				}
			})
			crashing := ts.pausing("g1", "glue", func(ctx context.Context, it site.Item) {
				if it.Stage == 3 {
					wait(ctx, ended)
				}
			})
			ts.waitReady()
			// The owner of the queue sees the crash itself, and knows what is lost.
			en := ts.owner("glue")
			go func() {
				defer close(ended)
				res, body := ts.roundTrip(en, ts.crossedCall(), http.MethodPost, "/crossed/stream/", "")
				ts.assertStatus(http.StatusOK, res)
				assert.Equal(t, 5, strings.Count(body, "data:"))
			}()
			ts.waitFor(func() bool { return len(ts.items("g1", 3)) > 0 && cut.Held() == 0 }, "the result of stage 0 is not released")
			if takenBefore {
				close(stage4MayRun)
				ts.waitFor(func() bool { return crashing.Held() == 0 }, "the result of stage 1 is not released")
			}
			ts.upstream("g2", "glue")
			ts.waitReady()
			crashing.Crash()
			ts.waitFor(func() bool { return len(ts.items("g2", 3)) > 0 }, "the stage does not run again")
			if !takenBefore {
				close(stage4MayRun)
			}
			<-ended
			ts.assertInputsWhole()
		})
	}
	play("one input is released", false)
	play("both inputs are released", true)
}

const (
	pieceTime  = 250 * time.Millisecond // of a piece with inputs, at most
	slowPiece  = 100 * time.Millisecond // of a piece of stage 2, so that stage 4 takes its inputs late
	crashAfter = 150 * time.Millisecond // from the begin of a piece; its inputs are released by then
	crashOneIn = 2
	awayTime   = 300 * time.Millisecond
)

// crashers are upstreams of stages of which one at a time crashes within a piece of which it
// holds an input.
type crashers struct {
	ts   *testSite
	away atomic.Bool // one of them is
	back sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
}

// draw returns how long a piece takes and whether its upstream is to crash.
func (cr *crashers) draw() (time.Duration, bool) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return time.Duration(cr.random.Int64N(int64(pieceTime))), cr.random.IntN(crashOneIn) == 0
}

// run waits for the time of a piece, or crashes its upstream and starts it again.
func (cr *crashers) run(id string, it site.Item) {
	clk := cr.ts.clk
	if it.Stage == 2 {
		clk.Sleep(slowPiece)
	}
	if len(it.Inputs) == 0 {
		return
	}
	up := cr.ts.upstreams[id]
	holdsInput := slices.ContainsFunc(it.Inputs, func(handle string) bool { return strings.HasPrefix(handle, up.Address()+"/") })
	took, crashes := cr.draw()
	if !holdsInput || !crashes || !cr.away.CompareAndSwap(false, true) {
		clk.Sleep(took)
		return
	}
	clk.Sleep(crashAfter)
	up.Crash()
	cr.back.Go(func() {
		defer cr.away.Store(false)
		clk.Sleep(awayTime)
		if up.Restart() == nil { // another test may have taken the port
			cr.ts.st.List(up, site.Ready)
		}
	})
}

// Guards against answers made from a part of the inputs, where several stages compute what
// they share again at the same time.
func TestInputsUnderCrashes(t *testing.T) {
	const requests, gap = 20, 200 * time.Millisecond
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			ts := newCrossedSite(t, 2)
			cr := &crashers{ts: ts, random: rand.New(rand.NewPCG(seed, 0))}
			for i, service := range []string{"cut", "glue", "trim", "cut", "glue", "trim", "glue"} {
				id := fmt.Sprint(service, i)
				ts.pausing(id, service, func(_ context.Context, it site.Item) { cr.run(id, it) })
			}
			ts.waitReady()
			var served atomic.Int64
			var group sync.WaitGroup
			for i := range requests {
				ts.clk.Sleep(gap)
				group.Go(func() {
					ca := ts.crossedCall()
					res, body := ts.roundTrip(ts.entries[i%len(ts.entries)], ca, http.MethodPost, "/crossed/stream/", "")
					if res.StatusCode == http.StatusOK {
						served.Add(1)
						assert.Equal(t, 5, strings.Count(body, "data:"))
						return
					}
					assert.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}, res.StatusCode, body)
					assert.Zero(t, ts.executions(ca), body)
				})
			}
			group.Wait()
			cr.back.Wait()
			assert.Positive(t, served.Load())
			ts.assertInputsWhole()
		})
	}
}
