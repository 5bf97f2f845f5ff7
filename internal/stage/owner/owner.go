// Package owner holds the queue of a service whose upstreams work on batches.
// One entry of a site owns it, so that a batch joins the work of all entries
// and the memory of the upstreams is accounted in one place. Ownership is
// soft: two owners side by side cost efficiency only, as each upstream refuses
// what it has no room for.
package owner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/stage/order"
	"github.com/go-logr/logr"
)

const (
	// maxJobs bounds the jobs that wait.
	maxJobs = 10000
	// zoneCost is the delay that a job accepts to be made in the zone where its
	// inputs lie, as results that cross zones are billed.
	zoneCost = 60 * time.Millisecond
	// crossFree are the bytes for which a job does not wait for its zone.
	crossFree = 64 << 10
	// fullPause is how long an upstream is left alone that refused a batch as
	// full, as another owner's batch runs there.
	fullPause = 100 * time.Millisecond
	// lateFactor times the expected time is how long a batch may take.
	lateFactor = 3.0
	lateExtra  = 300 * time.Millisecond
	// sizeStep is how much larger results are taken to be after one did not
	// find room, up to maxSize. The configuration names their size approximately.
	sizeStep = 1.02
	maxSize  = 1.3
	// lateWait is how long a job waits that can no longer reach its target. One
	// that waits longer mostly has no answer in the end, and holding it is worse
	// for its caller than a refusal.
	lateWait = 2 * time.Second
	// maxRepeats is how often each piece of a job is made again, on average.
	maxRepeats = 2
)

// Batcher runs a batch at an upstream. Refused says that the upstream did not
// take it. An error says that it may or may not have run.
type Batcher interface {
	Run(ctx context.Context, no *node.Node, items []citronstream.BatchItem) (results []citronstream.ItemResult, refused bool, err error)
	Release(ctx context.Context, no *node.Node, handles []string)
	// Maker returns the address of the upstream that holds a result.
	Maker(handle string) string
}

// Budget bounds the pieces that are sent more than once.
type Budget interface {
	First(service string)
	Take(service string, count int) int
}

// Owner is the queue of one service.
type Owner struct {
	clk     citronstream.Clock
	log     logr.Logger
	service string
	batcher Batcher
	budget  Budget
	ctx     context.Context

	mu      sync.Mutex
	spec    citronstream.BatchSpec
	size    float64 // measured size of a result against the configured one
	jobs    map[citronstream.JobName]*job
	waiting []*job // with pieces that are not in a batch
	servers map[*node.Node]*server
	list    []*server // in the order of the upstreams' IDs
	calls   sync.WaitGroup
	counts  Counts
	rate    rate
}

// Counts are the counters of an Owner.
type Counts struct {
	Batches, Items, Refused, Broken, NoRoom, Repeated, Expired, Overloaded uint64
}

// job is a Job with its state.
type job struct {
	citronstream.Job
	order.Entry
	at      time.Time
	pending []int // places in Pieces that wait
	left    int   // pieces without a result
	handles []string
	repeats int
	done    func(citronstream.JobResult)
	ended   bool
}

// server is what the owner knows of an upstream.
type server struct {
	*node.Node
	running int
	until   time.Time // left alone until then
	idle    time.Time // end of its last batch
	used    int       // bytes of results that it holds or makes
	results map[string]result
	// foreign are bytes of results that this owner does not know of, such as
	// those of an owner before, by the items that found no room.
	foreign   int
	foreignAt time.Time
}

// others returns the bytes of unknown results. They vanish within the life of a result.
func (sv *server) others(now time.Time, life time.Duration) int {
	if sv.foreign == 0 || life <= 0 {
		return 0
	}
	return int(float64(sv.foreign) * max(0, 1-float64(now.Sub(sv.foreignAt))/float64(life)))
}

type result struct {
	bytes int
	until time.Time // the upstream drops it by itself
}

// New returns an owner without upstreams. It ends with ctx.
func New(ctx context.Context, clk citronstream.Clock, log logr.Logger, service string, spec citronstream.BatchSpec, batcher Batcher, budget Budget) *Owner {
	return &Owner{
		clk: clk, log: log, service: service, batcher: batcher, budget: budget, ctx: ctx, spec: spec, size: 1,
		jobs: make(map[citronstream.JobName]*job), servers: make(map[*node.Node]*server),
	}
}

// Wait returns when all batches have ended.
func (ow *Owner) Wait() { ow.calls.Wait() }

// Counts returns the counters.
func (ow *Owner) Counts() Counts {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.counts
}

// Len returns the jobs that wait or run.
func (ow *Owner) Len() int {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return len(ow.jobs)
}

// Configure replaces the specification of the upstreams.
func (ow *Owner) Configure(spec citronstream.BatchSpec) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.spec = spec
}

// Replace sets the upstreams that take new work.
func (ow *Owner) Replace(nodes []*node.Node) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	servers := make(map[*node.Node]*server, len(nodes))
	ow.list = ow.list[:0]
	for _, no := range nodes {
		sv := ow.servers[no]
		if sv == nil {
			sv = &server{Node: no, results: make(map[string]result)}
		}
		servers[no] = sv
		ow.list = append(ow.list, sv)
	}
	ow.servers = servers
	ow.dispatch()
}

// Submit queues a job. Done is called once, with the owner's lock held, and
// must not call the owner or block.
func (ow *Owner) Submit(jo citronstream.Job, done func(citronstream.JobResult)) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	jb := &job{
		Job: jo, at: now, done: done, left: len(jo.Pieces), handles: make([]string, len(jo.Pieces)),
		Entry: order.Entry{Rank: jo.Rank, Frees: jo.Frees, Start: now.Add(jo.Slack), End: now.Add(jo.Left - jo.Rest)},
	}
	for place := range jo.Pieces {
		jb.pending = append(jb.pending, place)
	}
	name := citronstream.JobName{ID: jo.ID, Stage: jo.Stage, Service: jo.Service}
	if old := ow.jobs[name]; old != nil {
		// The entry has lost its link and asks again.
		ow.end(old, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the job was submitted again")})
	}
	if len(ow.jobs) >= maxJobs {
		ow.counts.Overloaded++
		done(citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLimit, "the queue of service %s is full", ow.service)})
		return
	}
	ow.jobs[name] = jb
	ow.budget.First(ow.service)
	ow.waiting = append(ow.waiting, jb)
	ow.dispatch()
}

// Cancel withdraws a job whose request has ended.
func (ow *Owner) Cancel(name citronstream.JobName) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if jb := ow.jobs[name]; jb != nil {
		ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the request has ended")})
	}
}

// Leave ends the jobs of which nothing was sent, for the next owner.
func (ow *Owner) Leave() {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, jb := range slices.Clone(ow.waiting) {
		if len(jb.pending) == len(jb.Pieces) && jb.repeats == 0 {
			ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "the owner of service %s leaves", ow.service)})
		}
	}
}

// Release gives up results, of this owner or an earlier one.
func (ow *Owner) Release(handles []string, at func(handle string) *node.Node) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	byNode := make(map[*node.Node][]string)
	for _, handle := range handles {
		if no := at(handle); no != nil {
			byNode[no] = append(byNode[no], handle)
		}
	}
	for no, list := range byNode {
		ow.release(no, list)
	}
}

// release gives up results of one upstream. Their memory counts as free once
// the upstream has answered, as a batch may overtake the call. The caller holds the lock.
func (ow *Owner) release(no *node.Node, handles []string) {
	ow.calls.Go(func() {
		ow.batcher.Release(ow.ctx, no, handles)
		ow.mu.Lock()
		defer ow.mu.Unlock()
		if sv := ow.servers[no]; sv != nil {
			for _, handle := range handles {
				sv.used -= sv.results[handle].bytes
				delete(sv.results, handle)
			}
		}
		ow.dispatch()
	})
}

// State describes the queue at a moment.
type State struct {
	Counts
	Jobs, Waiting, Late, Pending int // jobs in all, those that wait, of these the late ones, and their pieces
	Upstreams, Busy              int
	Used                         float64 // share of the upstreams' memory for results
}

// State returns the state of the queue.
func (ow *Owner) State() State {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	st := State{Counts: ow.counts, Jobs: len(ow.jobs), Waiting: len(ow.waiting), Upstreams: len(ow.list)}
	for _, jb := range ow.waiting {
		st.Pending += len(jb.pending)
		if now.After(jb.Start) {
			st.Late++
		}
	}
	for _, sv := range ow.list {
		if sv.running > 0 {
			st.Busy++
		}
		if ow.spec.ResultBytes > 0 {
			st.Used += float64(sv.used) / float64(ow.spec.ResultBytes) / float64(len(ow.list))
		}
	}
	return st
}

// Load returns what peers need to know of the queue.
func (ow *Owner) Load() citronstream.QueueLoad {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	ql := citronstream.QueueLoad{Rate: ow.rate.value(now, ow.ideal())}
	for _, jb := range ow.waiting {
		slack := jb.Start.Sub(now)
		if jb.Late(now) {
			ql.Late += len(jb.pending)
			continue
		}
		at := 0
		for at < len(citronstream.SlackSteps)-1 && slack >= citronstream.SlackSteps[at] {
			at++
		}
		ql.Pending[at] += len(jb.pending)
	}
	return ql
}

// ideal is the pieces that the upstreams make in a second with full batches.
func (ow *Owner) ideal() float64 {
	full := expected(&ow.spec, ow.spec.Items).Seconds()
	sum := 0.0
	for _, sv := range ow.list {
		sum += float64(ow.spec.Items*ow.spec.Calls) / (full * max(1, sv.Slowness()))
	}
	return sum
}

// Tick looks at the queue for what time alone has changed.
func (ow *Owner) Tick() {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	ow.rate.waiting(now, len(ow.waiting) > 0)
	for _, sv := range ow.list {
		for handle, re := range sv.results {
			if now.After(re.until) {
				sv.used -= re.bytes
				delete(sv.results, handle)
			}
		}
	}
	if len(ow.waiting) > 0 {
		ow.dispatch()
	}
}

// end ends a job. The caller holds the lock.
func (ow *Owner) end(jb *job, re citronstream.JobResult) {
	if jb.ended {
		return
	}
	jb.ended = true
	delete(ow.jobs, citronstream.JobName{ID: jb.ID, Stage: jb.Stage, Service: jb.Service})
	ow.waiting = slices.DeleteFunc(ow.waiting, func(other *job) bool { return other == jb })
	if re.Fault != nil || re.InputGone {
		ow.drop(jb)
	}
	jb.done(re)
}

// drop releases the results of a job that will not be used.
func (ow *Owner) drop(jb *job) {
	for _, sv := range ow.list {
		var handles []string
		for _, handle := range jb.handles {
			if _, ok := sv.results[handle]; ok {
				handles = append(handles, handle)
			}
		}
		if len(handles) > 0 {
			ow.release(sv.Node, handles)
		}
	}
}

// dispatch starts batches while an upstream is free. The caller holds the lock.
func (ow *Owner) dispatch() {
	now := ow.clk.Now()
	ow.expire(now)
	for len(ow.waiting) > 0 {
		slices.SortStableFunc(ow.waiting, func(a, b *job) int { return order.Compare(a.Entry, b.Entry, now) })
		sv, batch := ow.next(now)
		if sv == nil {
			return
		}
		ow.start(sv, batch, now)
	}
}

// expire ends the jobs that can no longer be answered in time.
func (ow *Owner) expire(now time.Time) {
	for _, jb := range slices.Clone(ow.waiting) {
		if jb.Fresh > 0 && now.Sub(jb.at) > jb.Fresh {
			ow.end(jb, citronstream.JobResult{InputGone: true})
			continue
		}
		if jb.Late(now) && now.Sub(jb.Start) > lateWait && len(jb.pending) == len(jb.Pieces) {
			ow.counts.Overloaded++
			ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded,
				"late, and waited %v for service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
			continue
		}
		if now.After(jb.End) {
			ow.counts.Expired++
			ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline,
				"waited %v for service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
		}
	}
}

// next chooses an upstream for the first job that fits one, and fills its batch.
func (ow *Owner) next(now time.Time) (*server, []part) {
	for _, jb := range ow.waiting {
		var best *server
		for _, sv := range ow.list {
			if !ow.free(sv, now) || !ow.allowed(sv, jb, now) || ow.room(sv, jb.Bytes, 0, now) < ow.least(sv, now) {
				continue
			}
			if best == nil || ow.prefer(sv, best, jb) {
				best = sv
			}
		}
		if best != nil {
			return best, ow.fill(best, now)
		}
	}
	return nil, nil
}

func (ow *Owner) free(sv *server, now time.Time) bool {
	return sv.running < ow.spec.Calls && now.After(sv.until) && !sv.Avoided(now)
}

// allowed reports whether an upstream may take a job in view of the zones.
// Large results cross zones only for a request that would miss its target
// if it waited for an upstream in its zone to end a batch.
func (ow *Owner) allowed(sv *server, jb *job, now time.Time) bool {
	if jb.Zone == "" || sv.Zone == jb.Zone || jb.Cross < crossFree || !ow.has(jb.Zone, now) {
		return true
	}
	left := jb.Start.Add(jb.Margin).Sub(now)
	return left < 3*expected(&ow.spec, ow.spec.Items)/2 && !jb.Late(now)
}

// has reports whether a zone has an upstream that takes batches.
func (ow *Owner) has(zone string, now time.Time) bool {
	return slices.ContainsFunc(ow.list, func(sv *server) bool { return sv.Zone == zone && !sv.Avoided(now) })
}

// room returns the number of results of a size that fit into an upstream's
// memory beside the bytes that a batch takes already.
func (ow *Owner) room(sv *server, bytes, taken int, now time.Time) int {
	if ow.spec.ResultBytes <= 0 || bytes <= 0 {
		return ow.spec.Items
	}
	free := ow.spec.ResultBytes - sv.used - taken - sv.others(now, ow.spec.ResultLife)
	return max(0, int(float64(free)/(float64(bytes)*ow.size)))
}

// least returns the results for which an upstream must have room before it
// gets a batch. With a backlog and little memory a batch of a few items would
// take the upstream for the time of a call, while memory is about to be released.
func (ow *Owner) least(sv *server, now time.Time) int {
	pending := 0
	for _, jb := range ow.waiting {
		pending += len(jb.pending)
	}
	if now.Sub(sv.idle) > ow.spec.CallTime {
		return 1
	}
	return max(1, min(pending, ow.spec.Items)/2)
}

// prefer reports whether a is better than b for the job that leads a batch.
func (ow *Owner) prefer(a, b *server, jb *job) bool {
	if jb.Zone != "" && (a.Zone == jb.Zone) != (b.Zone == jb.Zone) {
		return a.Zone == jb.Zone
	}
	if slowA, slowB := a.Slowness(), b.Slowness(); slowA > 1.5*slowB || slowB > 1.5*slowA {
		return slowA < slowB
	}
	return a.used < b.used
}

// part is what a batch takes of a job.
type part struct {
	jb     *job
	places []int
}

// fill composes the batch of an upstream in the order of the jobs, those whose
// inputs lie in its zone a little ahead.
func (ow *Owner) fill(sv *server, now time.Time) []part {
	jobs := slices.Clone(ow.waiting)
	slices.SortStableFunc(jobs, func(a, b *job) int {
		return order.Compare(ow.shifted(a, sv), ow.shifted(b, sv), now)
	})
	var batch []part
	items, bytes := 0, 0
	for _, jb := range jobs {
		if !ow.allowed(sv, jb, now) {
			continue
		}
		count := min(len(jb.pending), ow.spec.Items-items, ow.room(sv, jb.Bytes, bytes, now))
		if count < len(jb.pending) && len(jb.pending) <= ow.spec.Items && items > 0 {
			continue // a job that is split waits for two batches
		}
		if count <= 0 {
			continue
		}
		batch = append(batch, part{jb, slices.Clone(jb.pending[:count])})
		items, bytes = items+count, bytes+count*jb.Bytes
		if items == ow.spec.Items {
			break
		}
	}
	return batch
}

func (ow *Owner) shifted(jb *job, sv *server) order.Entry {
	en := jb.Entry
	if jb.Zone != "" && jb.Zone != sv.Zone {
		en.Start = en.Start.Add(zoneCost)
	}
	return en
}

// start sends a batch. The caller holds the lock.
func (ow *Owner) start(sv *server, batch []part, now time.Time) {
	var items []citronstream.BatchItem
	bytes := 0
	for _, pa := range batch {
		jb := pa.jb
		jb.pending = jb.pending[len(pa.places):]
		for _, place := range pa.places {
			items = append(items, citronstream.BatchItem{
				RequestID: jb.ID, Stage: jb.Stage, Piece: jb.Pieces[place],
				Left: jb.at.Add(jb.Left).Sub(now), Key: jb.Key, Inputs: jb.Inputs,
			})
			bytes += jb.Bytes
		}
	}
	ow.waiting = slices.DeleteFunc(ow.waiting, func(jb *job) bool { return len(jb.pending) == 0 })
	sv.running++
	sv.used += bytes
	ow.counts.Batches++
	ow.counts.Items += uint64(len(items))
	sv.Begin()
	ow.calls.Go(func() { ow.call(sv, batch, items, bytes) })
}

// expected returns the time of a batch at an upstream of ordinary speed.
func expected(spec *citronstream.BatchSpec, items int) time.Duration {
	return spec.CallTime + time.Duration(items)*spec.ItemTime
}

func (ow *Owner) call(sv *server, batch []part, items []citronstream.BatchItem, bytes int) {
	ow.mu.Lock()
	spec := ow.spec
	ow.mu.Unlock()
	normal := expected(&spec, len(items))
	most := time.Duration(lateFactor*max(1, sv.Slowness())*float64(normal)) + lateExtra
	ctx, cancel := context.WithCancel(ow.ctx)
	timer := ow.clk.AfterFunc(most, cancel)
	began := ow.clk.Now()
	results, refused, err := ow.batcher.Run(ctx, sv.Node, items)
	timer.Stop()
	cancel()
	took := ow.clk.Since(began)
	sv.End()

	ow.mu.Lock()
	defer ow.mu.Unlock()
	sv.running--
	sv.used -= bytes
	now := ow.clk.Now()
	sv.idle = now
	switch {
	case refused:
		ow.counts.Refused++
		sv.until = now.Add(fullPause)
		ow.again(batch, "refused")
	case err != nil:
		ow.counts.Broken++
		sv.Broke(now)
		ow.log.Info("batch broken", "service", ow.service, "upstream", sv.ID, "items", len(items), "took", took.Round(time.Millisecond).String(), "reason", err.Error())
		ow.again(batch, "broken")
	default:
		sv.Done(float64(took) / float64(normal))
		ow.rate.made(now, len(items))
		ow.settle(sv, batch, results, now)
	}
	ow.dispatch()
}

// settle takes the results of a batch.
func (ow *Owner) settle(sv *server, batch []part, results []citronstream.ItemResult, now time.Time) {
	at := 0
	for _, pa := range batch {
		failed := part{jb: pa.jb}
		gone := false
		for _, place := range pa.places {
			re := results[at]
			at++
			switch re.Fault {
			case citronstream.ItemDone:
				ow.keep(sv, pa.jb, place, re.Handle, now)
			case citronstream.ItemInputGone:
				gone = true
			case citronstream.ItemNoRoom:
				ow.counts.NoRoom++
				sv.foreign, sv.foreignAt = sv.others(now, ow.spec.ResultLife)+pa.jb.Bytes, now
				ow.size = min(ow.size*sizeStep, maxSize)
				failed.places = append(failed.places, place)
			default:
				failed.places = append(failed.places, place)
			}
		}
		switch {
		case pa.jb.ended:
		case gone:
			ow.end(pa.jb, citronstream.JobResult{InputGone: true})
		case len(failed.places) > 0:
			ow.again([]part{failed}, "failed")
		case pa.jb.left == 0:
			ow.end(pa.jb, citronstream.JobResult{Handles: pa.jb.handles})
		}
	}
}

// keep notes a result. That of a job that has ended is released at once.
func (ow *Owner) keep(sv *server, jb *job, place int, handle string, now time.Time) {
	if jb.ended {
		ow.release(sv.Node, []string{handle})
	}
	sv.results[handle] = result{bytes: jb.Bytes, until: now.Add(ow.spec.ResultLife)}
	sv.used += jb.Bytes
	if !jb.ended {
		jb.handles[place] = handle
		jb.left--
	}
}

// again queues pieces once more, as far as their jobs allow.
func (ow *Owner) again(batch []part, why string) {
	for _, pa := range batch {
		jb := pa.jb
		if jb.ended {
			continue
		}
		if jb.repeats+len(pa.places) > maxRepeats*len(jb.Pieces) || ow.budget.Take(ow.service, len(pa.places)) < len(pa.places) {
			ow.log.Info("stage given up", "request", jb.ID, "stage", jb.Stage, "service", ow.service, "reason", why, "repeats", jb.repeats)
			ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeUpstreamFailed,
				"stage %d at service %s: %s, and no repeat is left", jb.Stage, ow.service, why)})
			continue
		}
		jb.repeats += len(pa.places)
		ow.counts.Repeated += uint64(len(pa.places))
		if len(jb.pending) == 0 {
			ow.waiting = append(ow.waiting, jb)
		}
		jb.pending = append(jb.pending, pa.places...)
		slices.SortFunc(jb.pending, func(a, b int) int { return cmp.Compare(a, b) })
	}
}
