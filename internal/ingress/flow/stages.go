package flow

import (
	"context"
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

// maxRemakes is how often the lost results of a request are made again.
const maxRemakes = 2

// stage is the work of one stage of a request.
type stage struct {
	number  int
	spec    citronstream.RouteStage
	batch   *citronstream.BatchSpec
	pieces  int
	last    bool          // its results are inputs of the request itself
	rest    time.Duration // needed after the stage
	wait    time.Duration // in the queue of its service, as things are
	users   int           // stages that have not taken its results yet
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
		st := &stage{number: i, spec: spec, batch: rt.routes.Services[spec.Service].Batch, pieces: 1, done: make(chan struct{})}
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
	if no := sg.rt.prefer(nil); no != nil {
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
	return sg.fault
}

const (
	// batchMargin is the part of a full batch that a job may meet in progress
	// at each stage: half of one on average.
	batchMargin = 0.5
	// lateWait is the longest wait for which a request is taken that will miss
	// its target. With a longer backlog most such requests would be given up
	// in the end, which helps nobody.
	lateWait = 2 * time.Second
	// comeBackLeast is the least time after which a caller is asked to come back to a full queue.
	comeBackLeast = 300 * time.Millisecond
)

// admit refuses a request at once that can't reach its target and would wait long.
func (sg *stages) admit() *citronstream.Fault {
	needs := sg.estimate()
	slack := sg.rt.target.Sub(sg.rt.at) - needs
	if slack >= 0 {
		return nil
	}
	wait, at := time.Duration(0), ""
	for _, st := range sg.list {
		if late := sg.rt.fl.Broker.QueueWait(st.spec.Service, slack); st.pieces > 0 && late > wait {
			wait, at = late, st.spec.Service
		}
	}
	if wait < lateWait && needs < sg.rt.left() {
		return nil
	}
	fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "needs %v of %v, waits %v for service %s",
		needs.Round(time.Millisecond), sg.rt.route.Target, wait.Round(time.Millisecond), at)
	fa.RetryAfter = max(comeBackLeast, min(wait-lateWait, sg.rt.route.Target/4))
	return fa
}

// fail keeps the first fault; those after it are its consequence.
func (sg *stages) fail(fa *citronstream.Fault) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	if sg.fault == nil {
		sg.fault = fa
	}
}

// estimate sets the time that the request needs after each stage, and returns
// that which it needs in all. Waits are those of the queues now.
func (sg *stages) estimate() time.Duration {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	first := sg.rt.fl.times.expected(sg.rt.route.Name)
	slack := sg.rt.target.Sub(sg.rt.fl.clk.Now()) - sg.alone(first)
	total := first
	for _, st := range sg.list {
		st.rest, st.wait = first, 0
		if st.pieces > 0 {
			st.wait = sg.rt.fl.Broker.QueueWait(st.spec.Service, slack)
		}
	}
	for i := len(sg.list) - 1; i >= 0; i-- {
		st := sg.list[i]
		tail := st.rest + st.wait + st.work()
		for _, before := range st.spec.After {
			sg.list[before].rest = max(sg.list[before].rest, tail)
		}
		total = max(total, tail)
	}
	return total
}

// alone is the time that the request needs when nothing else runs.
func (sg *stages) alone(first time.Duration) time.Duration {
	tails := make([]time.Duration, len(sg.list))
	total := first
	for i := len(sg.list) - 1; i >= 0; i-- {
		st := sg.list[i]
		tails[i] = max(tails[i], first) + st.work()
		for _, before := range st.spec.After {
			tails[before] = max(tails[before], tails[i])
		}
		total = max(total, tails[i])
	}
	return total
}

// work is the time of the stage's batch when it runs alone.
func (st *stage) work() time.Duration {
	if st.batch == nil || st.pieces == 0 {
		return 0
	}
	return st.batch.CallTime + time.Duration(min(st.pieces, st.batch.Items))*st.batch.ItemTime
}

// tail is the time from the stage's submission to the request's first event.
func (sg *stages) tail(st *stage) time.Duration {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return st.wait + st.work() + st.rest
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
	for _, before := range st.spec.After {
		sg.used(sg.list[before])
	}
	return nil
}

// alignSlack is how much later than needed the results of a branch may be ready.
const alignSlack = 50 * time.Millisecond

// align holds a stage back while another branch of the request needs longer
// than it: its results would only take memory until the other branch is done.
func (sg *stages) align(ctx context.Context, st *stage) *citronstream.Fault {
	if st.pieces > 0 && st.last {
		tail := sg.tail(st) + alignSlack
		for _, other := range sg.list {
			if other == st || sg.tail(other) <= tail {
				continue
			}
			select {
			case <-other.done:
			case <-ctx.Done():
				return sg.ended(ctx)
			}
		}
	}
	if ctx.Err() != nil {
		return sg.ended(ctx)
	}
	return nil
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
		re := sg.rt.fl.Broker.Run(ctx, sg.job(st, places, inputs))
		sg.spent(st, sg.rt.fl.clk.Since(began))
		if re.Fault != nil {
			return re.Fault
		}
		if !re.InputGone {
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

// remake makes the lost results of some stages again, or all of them when
// none is known to be lost.
func (sg *stages) remake(ctx context.Context, numbers []int) *citronstream.Fault {
	sg.mu.Lock()
	sg.remakes++
	many := sg.remakes > maxRemakes
	sg.mu.Unlock()
	if many {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUpstreamDied, "results of the stages were lost again")
	}
	lost := 0
	for _, number := range numbers {
		lost += len(sg.lost(sg.list[number]))
	}
	for _, number := range numbers {
		st := sg.list[number]
		places := sg.lost(st)
		if lost == 0 {
			places = all(st)
		}
		if len(places) == 0 {
			continue
		}
		if fa := sg.remakeReleased(ctx, st.spec.After); fa != nil {
			return fa
		}
		if fa := sg.make(ctx, st, places, true); fa != nil {
			return fa
		}
	}
	return nil
}

// remakeReleased makes results again that were given up after their use.
func (sg *stages) remakeReleased(ctx context.Context, numbers []int) *citronstream.Fault {
	for _, number := range numbers {
		st := sg.list[number]
		if sg.held(st) != nil || st.pieces == 0 {
			continue
		}
		if fa := sg.remakeReleased(ctx, st.spec.After); fa != nil {
			return fa
		}
		if fa := sg.make(ctx, st, all(st), true); fa != nil {
			return fa
		}
	}
	return nil
}

// lost returns the results whose maker is gone or can't be reached.
func (sg *stages) lost(st *stage) []int {
	var places []int
	now := sg.rt.fl.clk.Now()
	for i, handle := range sg.held(st) {
		if no := sg.rt.fl.Broker.At(handle); no == nil || no.Avoided(now) {
			places = append(places, i)
		}
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
		Left: sg.rt.end.Sub(now), Rest: rest, Slack: sg.rt.target.Sub(now) - rest - margin, Margin: margin,
		Cross: len(places) * st.spec.Bytes,
	}
	inputBytes := 0
	for _, before := range st.spec.After {
		made := sg.list[before]
		inputBytes += made.pieces * made.spec.Bytes
		if fresh := made.batch.ResultLife - now.Sub(made.made) - freshMargin; made.pieces > 0 && (jo.Fresh == 0 || fresh < jo.Fresh) {
			jo.Fresh = max(fresh, time.Millisecond)
		}
	}
	jo.Frees = inputBytes > len(places)*st.spec.Bytes
	if len(st.spec.After) == 0 {
		jo.Key = sg.rt.PieceKey
	}
	if zone := heaviest(sg.bytesByZone(st.spec.After)); zone != "" {
		jo.Zone, jo.Cross = zone, len(places)*inputBytes
	}
	return jo
}

// margin is what the batches of others add to the time of a request: under
// load a batch is full, and starts when the one before it ends.
func (sg *stages) margin(st *stage) time.Duration {
	if st.batch == nil {
		return 0
	}
	full := time.Duration(st.batch.Items) * st.batch.ItemTime
	most := time.Duration(0)
	for _, other := range sg.list {
		if slices.Contains(other.spec.After, st.number) && other.pieces > 0 {
			most = max(most, sg.margin(other))
		}
	}
	return time.Duration(batchMargin*float64(full+st.batch.CallTime)) + most
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
func (sg *stages) used(st *stage) {
	sg.mu.Lock()
	st.users--
	free := st.users == 0 && !st.last
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

// inputs returns the results that the request itself takes. Those that were
// given up are made again.
func (sg *stages) inputs(ctx context.Context) ([]string, *citronstream.Fault) {
	finals := sg.finals()
	sg.repair.Lock()
	defer sg.repair.Unlock()
	if fa := sg.remakeReleased(ctx, finals); fa != nil {
		return nil, fa
	}
	var inputs []string
	for _, number := range finals {
		inputs = append(inputs, sg.held(sg.list[number])...)
	}
	return inputs, nil
}

// demand describes the request to the choice of an engine.
func (rt *request) demand(exclude map[string]bool) engines.Request {
	rq := engines.Request{Tokens: rt.TokensIn, Shared: rt.Shared(), Exclude: exclude}
	if rt.stages != nil {
		rq.Inputs = rt.stages.bytesByZone(rt.stages.finals())
	}
	return rq
}
