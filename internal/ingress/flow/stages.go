package flow

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/citronstream/citronstream/internal/stage/order"
)

// freshMargin is subtracted from the lifetime of a result, for the transfer to
// its upstream and the wait there.
const freshMargin = 200 * time.Millisecond

// stage is the state of one stage of a request.
type stage struct {
	number      int
	spec        citronstream.RouteStage
	batch       *citronstream.BatchSpec
	pieces      int
	final       bool          // the request itself takes its results
	laterStages time.Duration // estimated time of the later stages and the request itself
	// laterBatches is the part of laterStages that remains if nothing waits there.
	laterBatches time.Duration
	wait         time.Duration // estimated, in the queue of its service
	consumers    int           // number of stages that take its results
	fetches      int           // how often each of its results is fetched: by each piece of these stages, and by the request
	takenBy      map[int]bool  // the numbers of the stages that have taken its results
	handles      []string
	computedAt   time.Time // when the first of its results was stored
	took         time.Duration
	done         chan struct{}
	begun        chan struct{} // closed when it no longer waits for other branches
	waits        bool          // it waits for another branch
}

// stages runs the stages of a request.
type stages struct {
	rt         *request
	list       []*stage
	zone       string // of the engine that the request would be sent to now
	recomputes int

	recomputeMu sync.Mutex // held while lost results are recomputed

	mu    sync.Mutex // guards fault, panicked, recomputes, and the handles and takenBy of all stages
	fault *citronstream.Fault
	// panicked is the first panic of a stage.
	panicked *stagePanic
}

func newStages(rt *request) *stages {
	sg := &stages{rt: rt}
	followed := make(map[int]bool)
	for i, spec := range rt.route.Stages {
		for _, before := range spec.After {
			followed[before] = true
		}
		st := &stage{number: i, spec: spec, batch: rt.routes.Services[spec.Service].Batch, pieces: 1, takenBy: make(map[int]bool), done: make(chan struct{}), begun: make(chan struct{})}
		if i < len(rt.Pieces) {
			st.pieces = rt.Pieces[i]
		}
		sg.list = append(sg.list, st)
	}
	for i, st := range sg.list {
		if st.final = !followed[i]; st.final {
			st.fetches = 1
		}
		for _, before := range st.spec.After {
			sg.list[before].consumers++
			sg.list[before].fetches += st.pieces
		}
	}
	return sg
}

// run computes all results. It returns nil if the request can be sent to an
// upstream.
func (sg *stages) run(ctx context.Context) *citronstream.Fault {
	if len(sg.list) == 0 {
		return nil
	}
	if fa := sg.admit(); fa != nil {
		return fa
	}
	if nd := sg.rt.preferredEngine(sg.estimate(true)); nd != nil {
		sg.zone = nd.Zone
	}
	return sg.runAll(ctx)
}

// runAll runs the stages, each in its own goroutine. A panic of one goes on in the
// caller's goroutine.
func (sg *stages) runAll(ctx context.Context) *citronstream.Fault {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, st := range sg.list {
		group.Go(func() {
			defer close(st.done)
			defer func() {
				if value := recover(); value != nil {
					sg.setPanic(&stagePanic{value: value, stack: debug.Stack()})
					cancel()
				}
			}()
			if fa := sg.runStage(ctx, st); fa != nil {
				sg.setFault(fa)
				cancel()
			}
		})
	}
	group.Wait()
	if sg.panicked != nil {
		panic(sg.panicked)
	}
	if sg.fault != nil && errors.Is(context.Cause(ctx), errShutdown) {
		fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "%v", errShutdown)
		fa.RetryAfter = shortRetryAfter
		return fa
	}
	return sg.fault
}

// setFault records the first fault; later ones are consequences of it.
func (sg *stages) setFault(fa *citronstream.Fault) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	if sg.fault == nil {
		sg.fault = fa
	}
}

// runStage waits for the inputs of a stage and computes its results.
func (sg *stages) runStage(ctx context.Context, st *stage) *citronstream.Fault {
	for _, before := range st.spec.After {
		select {
		case <-sg.list[before].done:
		case <-ctx.Done():
			return sg.contextFault(ctx)
		}
	}
	if fa := sg.align(ctx, st); fa != nil {
		return fa
	}
	close(st.begun)
	if st.pieces > 0 {
		if st.batch == nil {
			return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "stage %d: service %s is not in the configuration", st.number, st.spec.Service)
		}
		return sg.compute(ctx, st, allIndexes(st), false)
	}
	sg.inputsTaken(st)
	return nil
}

// inputsTaken records that a stage has read its inputs, and releases those that
// no other stage needs.
func (sg *stages) inputsTaken(st *stage) {
	for _, before := range st.spec.After {
		sg.markTaken(sg.list[before], st)
	}
}

func (sg *stages) contextFault(ctx context.Context) *citronstream.Fault {
	if cause := context.Cause(ctx); cause == context.DeadlineExceeded {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline, "deadline exceeded before the stages were done")
	}
	return citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the request has ended")
}

// compute runs the job for some pieces of a stage. Lost and released inputs are recomputed
// by one stage at a time; locked says that the caller holds recomputeMu.
func (sg *stages) compute(ctx context.Context, st *stage, indexes []int, locked bool) *citronstream.Fault {
	for {
		inputs, ok := sg.holdInputs(st)
		if !ok {
			if fa := sg.restoreInputs(ctx, st, locked); fa != nil {
				return fa
			}
			continue
		}
		began := sg.rt.fl.clk.Now()
		re := sg.runJob(ctx, st, sg.newJob(st, indexes, inputs))
		sg.addTime(st, sg.rt.fl.clk.Since(began))
		if re.Fault != nil {
			return re.Fault
		}
		if !re.InputLost && len(re.Handles) != len(indexes) {
			return citronstream.NewFault(citronstream.NotRun, citronstream.CodeInternal, "stage %d: %d results for %d pieces", st.number, len(re.Handles), len(indexes))
		}
		if !re.InputLost {
			sg.storeResults(st, indexes, re.Handles)
			sg.inputsTaken(st)
			return nil
		}
		sg.rt.fl.log.Info("stage input lost", "request", sg.rt.ID, "stage", st.number, "service", st.spec.Service, "remakes", sg.recomputeCount())
		if fa := sg.recomputeInputs(ctx, st, inputs, locked); fa != nil {
			return fa
		}
	}
}

// recomputeInputs computes the inputs of a stage again, unless they were replaced since
// the given ones were read.
func (sg *stages) recomputeInputs(ctx context.Context, st *stage, read []string, locked bool) *citronstream.Fault {
	if !locked {
		sg.recomputeMu.Lock()
		defer sg.recomputeMu.Unlock()
	}
	if inputs, ok := sg.holdInputs(st); ok && !slices.Equal(inputs, read) {
		return nil
	}
	return sg.recompute(ctx, st.spec.After)
}

// restoreInputs computes the inputs of a stage again that were released.
func (sg *stages) restoreInputs(ctx context.Context, st *stage, locked bool) *citronstream.Fault {
	if !locked {
		sg.recomputeMu.Lock()
		defer sg.recomputeMu.Unlock()
	}
	return sg.restore(ctx, st.spec.After)
}

// runJob runs a job. Its inputs are released as soon as the upstream has read
// them, so that their memory is free before the job ends.
func (sg *stages) runJob(ctx context.Context, st *stage, jo citronstream.Job) citronstream.JobResult {
	fetched, ended := make(chan struct{}, 1), make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-fetched:
			sg.inputsTaken(st)
		case <-ended:
		}
	})
	re := sg.rt.fl.Broker.Run(ctx, jo, func() {
		select {
		case fetched <- struct{}{}:
		default:
		}
	})
	close(ended)
	group.Wait()
	return re
}

// addTime adds to the time of a stage, for the log.
func (sg *stages) addTime(st *stage, took time.Duration) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	st.took += took
}

// timings returns the time of each stage in ms, including its queue wait, as
// "0:250 1:480".
func (sg *stages) timings() string {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	var parts []string
	for _, st := range sg.list {
		if st.pieces > 0 {
			parts = append(parts, fmt.Sprintf("%d:%d", st.number, st.took.Milliseconds()))
		}
	}
	return strings.Join(parts, " ")
}

// storeResults records results. Those that they replace are released, as their
// upstreams may still hold them.
func (sg *stages) storeResults(st *stage, indexes []int, handles []string) {
	var old []string
	sg.mu.Lock()
	if st.handles == nil {
		st.handles = make([]string, st.pieces)
		st.computedAt = sg.rt.fl.clk.Now()
	}
	for i, index := range indexes {
		if st.handles[index] != "" {
			old = append(old, st.handles[index])
		}
		st.handles[index] = handles[i]
	}
	sg.mu.Unlock()
	sg.release(st, old)
}

// results returns a copy of a stage's result handles.
func (sg *stages) results(st *stage) []string {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return slices.Clone(st.handles)
}

func allIndexes(st *stage) []int {
	indexes := make([]int, st.pieces)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

func (sg *stages) newJob(st *stage, indexes []int, inputs []string) citronstream.Job {
	sg.estimate(true)
	now := sg.rt.fl.clk.Now()
	rest, unloaded := sg.timeAfterWait(st)
	margin := sg.margin(st)
	slack := sg.rt.target.Sub(now) - unloaded
	last := order.LastMargin(slack, margin)
	rank, routeRank := sg.rt.ranks()
	jo := citronstream.Job{
		ID: sg.rt.ID, Stage: st.number, Service: st.spec.Service, Pieces: indexes, Bytes: st.spec.Bytes, Inputs: inputs,
		Rank: rank, RouteRank: routeRank, Workspace: sg.rt.workspace, Returned: sg.rt.returned, Zone: sg.zone, Regions: string(sg.rt.regions),
		Left: sg.rt.end.Sub(now) - sg.rt.timeAfterFirstEvent(), LaterStages: rest, Slack: slack - last, Margin: last,
		Early:          margin - last + deviationMargin*sg.rt.fl.latencies.deviation(sg.rt.route.Name),
		CrossZoneBytes: len(indexes) * st.spec.Bytes * st.fetches,
	}
	inputBytes := 0
	for _, before := range st.spec.After {
		prev := sg.list[before]
		if prev.pieces == 0 {
			continue
		}
		inputBytes += prev.pieces * prev.spec.Bytes
		if fresh := max(prev.batch.ResultLife-now.Sub(prev.computedAt)-freshMargin, time.Millisecond); jo.InputTTL == 0 || fresh < jo.InputTTL {
			jo.InputTTL = fresh
		}
	}
	jo.FreesMemory, jo.InputBytes = inputBytes > len(indexes)*st.spec.Bytes, inputBytes
	if len(st.spec.After) == 0 {
		jo.Key = sg.rt.PieceKey
	}
	if zone := largestZone(sg.bytesByZone(st.spec.After)); zone != "" {
		jo.Zone, jo.CrossZoneBytes = zone, len(indexes)*inputBytes
	}
	return jo
}

// holdInputs returns the results that a stage takes, and keeps them from being released
// until it has taken them. ok is false if some were released before.
func (sg *stages) holdInputs(st *stage) (inputs []string, ok bool) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	for _, before := range st.spec.After {
		delete(sg.list[before].takenBy, st.number)
	}
	return sg.allResults(st.spec.After)
}

// allResults returns the results of some stages; ok is false if any is missing. The caller
// holds the lock.
func (sg *stages) allResults(numbers []int) (handles []string, ok bool) {
	for _, number := range numbers {
		st := sg.list[number]
		if len(st.handles) != st.pieces || slices.Contains(st.handles, "") {
			return nil, false
		}
		handles = append(handles, st.handles...)
	}
	return handles, true
}

// bytesByZone returns the size of the results of some stages, by the zone that
// holds them.
func (sg *stages) bytesByZone(numbers []int) map[string]int {
	zones := make(map[string]int)
	for _, number := range numbers {
		st := sg.list[number]
		for _, handle := range sg.results(st) {
			if nd := sg.rt.fl.Broker.ResultNode(st.spec.Service, handle); nd != nil {
				zones[nd.Zone] += st.spec.Bytes
			}
		}
	}
	return zones
}

func largestZone(zones map[string]int) string {
	best, most := "", 0
	for zone, bytes := range zones {
		if bytes > most || bytes == most && zone < best {
			best, most = zone, bytes
		}
	}
	return best
}

// markTaken records that a stage has taken the results of st, and releases them
// after the last one.
func (sg *stages) markTaken(st, by *stage) {
	sg.mu.Lock()
	st.takenBy[by.number] = true
	var unused []string
	if len(st.takenBy) == st.consumers && !st.final {
		unused, st.handles = st.handles, nil
	}
	sg.mu.Unlock()
	sg.release(st, unused)
}

// release tells the upstreams that results are no longer needed.
func (sg *stages) release(st *stage, handles []string) {
	handles = slices.DeleteFunc(handles, func(handle string) bool { return handle == "" })
	sg.rt.fl.Broker.Release(citronstream.Release{Service: st.spec.Service, Regions: string(sg.rt.regions), Handles: handles, Bytes: st.spec.Bytes})
}

// releaseAll releases the results of all stages.
func (sg *stages) releaseAll() {
	for _, st := range sg.list {
		sg.mu.Lock()
		handles := st.handles
		st.handles = nil
		sg.mu.Unlock()
		sg.release(st, handles)
	}
}

// finalStages returns the numbers of the stages whose results the request itself
// takes.
func (sg *stages) finalStages() []int {
	var numbers []int
	for _, st := range sg.list {
		if st.final {
			numbers = append(numbers, st.number)
		}
	}
	return numbers
}

// demand describes the request for the choice of an engine.
func (rt *request) demand(exclude map[string]bool) engines.Request {
	rq := engines.Request{Tokens: rt.TokensIn, Shared: rt.Shared(), Exclude: exclude, Apart: rt.visit.Apart(), Slack: rt.target.Sub(rt.fl.clk.Now())}
	rq.MaxStarts = rt.fl.Cold.MaxUnknown(rt.service)
	if rt.stages != nil {
		rq.Inputs = rt.stages.bytesByZone(rt.stages.finalStages())
	}
	return rq
}
