package flow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/route/engines"
)

// freshMargin is taken off the time for which a result is kept, for the way to
// its maker and the wait there.
const freshMargin = 200 * time.Millisecond

// stage is the work of one stage of a request.
type stage struct {
	number  int
	spec    citronstream.RouteStage
	batch   *citronstream.BatchSpec
	pieces  int
	last    bool          // its results are inputs of the request itself
	rest    time.Duration // needed after the stage
	wait    time.Duration // in the queue of its service, as things are
	users   int           // stages that take its results
	taken   map[int]bool  // the numbers of those that have
	handles []string
	made    time.Time // when the oldest of its results was made
	took    time.Duration
	done    chan struct{}
}

// stages are those of a request that it does not leave out.
type stages struct {
	rt      *request
	list    []*stage
	zone    string // of the engine that the request would get now
	remakes int

	repair sync.Mutex // held while lost results are made again

	mu    sync.Mutex // guards fault, remakes, and the handles and users of all stages
	fault *citronstream.Fault
}

func newStages(rt *request) *stages {
	sg := &stages{rt: rt}
	followed := make(map[int]bool)
	for i, spec := range rt.route.Stages {
		for _, before := range spec.After {
			followed[before] = true
		}
		st := &stage{number: i, spec: spec, batch: rt.routes.Services[spec.Service].Batch, pieces: 1, taken: make(map[int]bool), done: make(chan struct{})}
		if i < len(rt.Pieces) {
			st.pieces = rt.Pieces[i]
		}
		sg.list = append(sg.list, st)
	}
	for i, st := range sg.list {
		st.last = !followed[i]
		for _, before := range st.spec.After {
			sg.list[before].users++
		}
	}
	return sg
}

// run makes all results. It returns nil when the request can run.
func (sg *stages) run(ctx context.Context) *citronstream.Fault {
	if len(sg.list) == 0 {
		return nil
	}
	if fa := sg.admit(); fa != nil {
		return fa
	}
	if no := sg.rt.prefer(sg.estimate()); no != nil {
		sg.zone = no.Zone
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, st := range sg.list {
		group.Go(func() {
			defer close(st.done)
			if fa := sg.stage(ctx, st); fa != nil {
				sg.fail(fa)
				cancel()
			}
		})
	}
	group.Wait()
	if sg.fault != nil && errors.Is(context.Cause(ctx), errFinished) {
		fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "%v", errFinished)
		fa.RetryAfter = comeBackSoon
		return fa
	}
	return sg.fault
}

// fail keeps the first fault; those after it are its consequence.
func (sg *stages) fail(fa *citronstream.Fault) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	if sg.fault == nil {
		sg.fault = fa
	}
}

// stage waits for the results that a stage takes, and makes its own.
func (sg *stages) stage(ctx context.Context, st *stage) *citronstream.Fault {
	for _, before := range st.spec.After {
		select {
		case <-sg.list[before].done:
		case <-ctx.Done():
			return sg.ended(ctx)
		}
	}
	if fa := sg.align(ctx, st); fa != nil {
		return fa
	}
	if st.pieces > 0 {
		if st.batch == nil {
			return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "stage %d: service %s is not in the configuration", st.number, st.spec.Service)
		}
		if fa := sg.make(ctx, st, all(st), false); fa != nil {
			return fa
		}
	}
	sg.took(st)
	return nil
}

// took notes that a stage has its inputs, and gives up those that no other stage takes.
func (sg *stages) took(st *stage) {
	for _, before := range st.spec.After {
		sg.used(sg.list[before], st)
	}
}

func (sg *stages) ended(ctx context.Context) *citronstream.Fault {
	if cause := context.Cause(ctx); cause == context.DeadlineExceeded {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline, "the deadline passed before the stages were done")
	}
	return citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the request has ended")
}

// make runs the job for some pieces of a stage. Inputs that are gone are made
// again, one stage at a time; repairing says that the caller is doing so.
func (sg *stages) make(ctx context.Context, st *stage, places []int, repairing bool) *citronstream.Fault {
	for {
		inputs := sg.inputsOf(st)
		began := sg.rt.fl.clk.Now()
		re := sg.runJob(ctx, st, sg.job(st, places, inputs))
		sg.spent(st, sg.rt.fl.clk.Since(began))
		if re.Fault != nil {
			return re.Fault
		}
		if !re.InputLost && len(re.Handles) != len(places) {
			return citronstream.NewFault(citronstream.NotRun, citronstream.CodeInternal, "stage %d: %d results for %d pieces", st.number, len(re.Handles), len(places))
		}
		if !re.InputLost {
			sg.keep(st, places, re.Handles)
			return nil
		}
		sg.rt.fl.log.Info("stage input gone", "request", sg.rt.ID, "stage", st.number, "service", st.spec.Service, "remakes", sg.remakes)
		if !repairing {
			sg.repair.Lock()
		}
		fa := sg.remake(ctx, st.spec.After)
		if !repairing {
			sg.repair.Unlock()
		}
		if fa != nil {
			return fa
		}
	}
}

// runJob runs a job. Its inputs are given up as soon as the upstream has read
// them: what waits for their memory need not wait for the end of the work.
func (sg *stages) runJob(ctx context.Context, st *stage, jo citronstream.Job) citronstream.JobResult {
	fetched, ended := make(chan struct{}, 1), make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-fetched:
			sg.took(st)
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

// spent adds to the time of a stage, for the log.
func (sg *stages) spent(st *stage, took time.Duration) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	st.took += took
}

// times returns the time of each stage in ms, with its wait, as "0:250 1:480".
func (sg *stages) times() string {
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

// keep notes results. Those that they replace are given up: their makers may hold them still.
func (sg *stages) keep(st *stage, places []int, handles []string) {
	var old []string
	sg.mu.Lock()
	if st.handles == nil {
		st.handles = make([]string, st.pieces)
		st.made = sg.rt.fl.clk.Now()
	}
	for i, place := range places {
		if st.handles[place] != "" {
			old = append(old, st.handles[place])
		}
		st.handles[place] = handles[i]
	}
	sg.mu.Unlock()
	sg.rt.fl.Broker.Release(citronstream.Release{Service: st.spec.Service, Handles: old})
}

// held returns a copy of a stage's results.
func (sg *stages) held(st *stage) []string {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return slices.Clone(st.handles)
}

func all(st *stage) []int {
	places := make([]int, st.pieces)
	for i := range places {
		places[i] = i
	}
	return places
}

func (sg *stages) job(st *stage, places []int, inputs []string) citronstream.Job {
	sg.estimate()
	now := sg.rt.fl.clk.Now()
	rest := sg.tail(st) - st.wait
	margin := sg.margin(st)
	jo := citronstream.Job{
		ID: sg.rt.ID, Stage: st.number, Service: st.spec.Service, Pieces: places, Bytes: st.spec.Bytes, Inputs: inputs,
		Rank: sg.rt.rank, Workspace: sg.rt.workspace, Zone: sg.zone,
		Left: sg.rt.end.Sub(now), LaterStages: rest, Slack: sg.rt.target.Sub(now) - rest - margin, Margin: margin,
		CrossZoneBytes: len(places) * st.spec.Bytes,
	}
	inputBytes := 0
	for _, before := range st.spec.After {
		made := sg.list[before]
		if made.pieces == 0 {
			continue
		}
		inputBytes += made.pieces * made.spec.Bytes
		if fresh := max(made.batch.ResultLife-now.Sub(made.made)-freshMargin, time.Millisecond); jo.InputTTL == 0 || fresh < jo.InputTTL {
			jo.InputTTL = fresh
		}
	}
	jo.FreesMemory, jo.InputBytes = inputBytes > len(places)*st.spec.Bytes, inputBytes
	if len(st.spec.After) == 0 {
		jo.Key = sg.rt.PieceKey
	}
	if zone := heaviest(sg.bytesByZone(st.spec.After)); zone != "" {
		jo.Zone, jo.CrossZoneBytes = zone, len(places)*inputBytes
	}
	return jo
}

// inputsOf returns the results that a stage takes.
func (sg *stages) inputsOf(st *stage) []string {
	var inputs []string
	for _, before := range st.spec.After {
		inputs = append(inputs, sg.held(sg.list[before])...)
	}
	return inputs
}

// bytesByZone returns where the results of some stages lie.
func (sg *stages) bytesByZone(numbers []int) map[string]int {
	zones := make(map[string]int)
	for _, number := range numbers {
		st := sg.list[number]
		for _, handle := range sg.held(st) {
			if no := sg.rt.fl.Broker.At(handle); no != nil {
				zones[no.Zone] += st.spec.Bytes
			}
		}
	}
	return zones
}

func heaviest(zones map[string]int) string {
	best, most := "", 0
	for zone, bytes := range zones {
		if bytes > most || bytes == most && zone < best {
			best, most = zone, bytes
		}
	}
	return best
}

// used notes that a stage has taken the results of another.
func (sg *stages) used(st, by *stage) {
	sg.mu.Lock()
	st.taken[by.number] = true
	free := len(st.taken) == st.users && !st.last
	sg.mu.Unlock()
	if free {
		sg.giveUp(st)
	}
}

func (sg *stages) giveUp(st *stage) {
	sg.mu.Lock()
	handles := slices.DeleteFunc(st.handles, func(handle string) bool { return handle == "" })
	st.handles = nil
	sg.mu.Unlock()
	sg.rt.fl.Broker.Release(citronstream.Release{Service: st.spec.Service, Handles: handles})
}

// release gives up all results.
func (sg *stages) release() {
	for _, st := range sg.list {
		sg.giveUp(st)
	}
}

// finals returns the numbers of the stages whose results the request itself takes.
func (sg *stages) finals() []int {
	var numbers []int
	for _, st := range sg.list {
		if st.last {
			numbers = append(numbers, st.number)
		}
	}
	return numbers
}

// demand describes the request to the choice of an engine.
func (rt *request) demand(exclude map[string]bool) engines.Request {
	rq := engines.Request{Tokens: rt.TokensIn, Shared: rt.Shared(), Exclude: exclude, Slack: rt.target.Sub(rt.fl.clk.Now())}
	if rt.stages != nil {
		rq.Inputs = rt.stages.bytesByZone(rt.stages.finals())
	}
	return rq
}
