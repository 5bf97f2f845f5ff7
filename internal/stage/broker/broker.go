// Package broker brings the jobs of requests to the owners of their queues.
package broker

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/stage/owner"
	"github.com/go-logr/logr"
)

const (
	// tickEvery is how often the queues are looked at for what time has changed.
	tickEvery = 20 * time.Millisecond
	// reportTicks times tickEvery is how often the state of a queue is logged.
	reportTicks = 50
	// loadLife is how long an owner's word on its queue counts. It is renewed
	// while work waits, each 100 ms with few gateways and each 2.3 s with 364.
	loadLife = 3 * time.Second
	// maxMoves bounds the owners that a job is brought to.
	maxMoves = 4
	// ownerShare is the least capacity of an owner against that of the strongest
	// entry. All jobs of a service pass its owner, whose link and processor would
	// be the limit of the whole site.
	ownerShare = 0.5
	// maxServices bounds the services whose load is remembered.
	maxServices = 1024
)

// Broker knows the owners of all services.
type Broker struct {
	clk     citronstream.Clock
	log     logr.Logger
	self    string // address of this process
	view    *view.View
	mesh    *mesh.Mesh
	batcher owner.Batcher
	budget  owner.Budget
	ctx     context.Context
	// capacity is that of this process, as peers tell theirs.
	capacity float64

	mu      sync.Mutex
	owners  map[string]*owner.Owner
	leaving bool
	loads   map[string]load
	told    map[string]bool // services whose queue had work at the last News
	// remote are the jobs of peers by the link that brought them. They have a
	// lock of their own, as an owner ends jobs while it holds its lock.
	remoteMu sync.Mutex
	remote   map[*link.Link]map[citronstream.JobKey]bool
	links    sync.WaitGroup
	// fetched has a func() for each job of this process, by its citronstream.JobKey.
	fetched sync.Map
	done    chan struct{}
}

// load is what an owner has told of its queue.
type load struct {
	citronstream.QueueLoad
	at time.Time
}

// Option changes a Broker.
type Option func(*Broker)

// WithCapacity sets how this process compares with its peers, see citronstream.PeerInfo.
func WithCapacity(capacity float64) Option { return func(br *Broker) { br.capacity = capacity } }

// New returns a broker. It ends with ctx.
func New(ctx context.Context, clk citronstream.Clock, log logr.Logger, self string, vi *view.View, me *mesh.Mesh, batcher owner.Batcher, budget owner.Budget, opts ...Option) *Broker {
	br := &Broker{
		clk: clk, log: log, self: self, view: vi, mesh: me, batcher: batcher, budget: budget, ctx: ctx,
		owners: make(map[string]*owner.Owner), loads: make(map[string]load), told: make(map[string]bool),
		remote: make(map[*link.Link]map[citronstream.JobKey]bool), done: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(br)
	}
	vi.OnMembers(br.members)
	go br.tick()
	return br
}

// Wait returns when the broker and all batches have ended.
func (br *Broker) Wait() {
	<-br.done
	br.links.Wait()
	for _, ow := range br.all() {
		ow.Wait()
	}
}

// Leave hands the jobs of which nothing was sent to the next owners.
func (br *Broker) Leave() {
	br.mu.Lock()
	br.leaving = true
	br.mu.Unlock()
	for _, ow := range br.all() {
		ow.Leave()
	}
}

// Idle reports whether no queue of this process has a job.
func (br *Broker) Idle() bool {
	for _, ow := range br.all() {
		if ow.Len() > 0 {
			return false
		}
	}
	return true
}

// Each calls a function for each service's queue in this process.
func (br *Broker) Each(each func(service string, ow *owner.Owner)) {
	br.mu.Lock()
	defer br.mu.Unlock()
	for service, ow := range br.owners {
		each(service, ow)
	}
}

func (br *Broker) all() []*owner.Owner {
	br.mu.Lock()
	defer br.mu.Unlock()
	all := make([]*owner.Owner, 0, len(br.owners))
	for _, ow := range br.owners {
		all = append(all, ow)
	}
	return all
}

// tick lets the queues see the time.
func (br *Broker) tick() {
	defer close(br.done)
	ticker := br.clk.NewTicker(tickEvery)
	defer ticker.Stop()
	for count := 1; ; count++ {
		select {
		case <-br.ctx.Done():
			return
		case <-ticker.Chan():
		}
		for _, ow := range br.all() {
			ow.Tick()
		}
		if count%reportTicks == 0 {
			br.Each(br.report)
		}
	}
}

// report logs the state of a queue that has work.
func (br *Broker) report(service string, ow *owner.Owner) {
	st := ow.State()
	if st.Jobs == 0 {
		return
	}
	br.log.Info("queue", "service", service, "jobs", st.Jobs, "waiting", st.Waiting, "late", st.Late, "pieces", st.Pending,
		"upstreams", st.Upstreams, "busy", st.Busy, "used", int(100*st.Used), "batches", st.Batches, "items", st.Items,
		"refused", st.Refused, "broken", st.Broken, "no room", st.NoRoom, "repeated", st.Repeated, "expired", st.Expired)
}

// members passes a new set of upstreams on to the queues.
func (br *Broker) members(me *view.Members) {
	br.mu.Lock()
	defer br.mu.Unlock()
	for service, ow := range br.owners {
		ow.Replace(me.Service(service))
	}
}

// local returns the queue of a service in this process, nil when the
// configuration has no such service.
func (br *Broker) local(service string) *owner.Owner {
	routes := br.view.Routes()
	if routes == nil || routes.Services[service].Batch == nil {
		return nil
	}
	spec := *routes.Services[service].Batch
	br.mu.Lock()
	defer br.mu.Unlock()
	ow := br.owners[service]
	if ow == nil {
		ow = owner.New(br.ctx, br.clk, br.log, service, spec, br.batcher, br.budget)
		br.owners[service] = ow
		ow.Replace(br.view.Members().Service(service))
	} else {
		ow.Configure(spec)
	}
	return ow
}

// owner returns the entry that owns the queue of a service, nil for this one:
// the one with the highest score among those with enough capacity.
func (br *Broker) owner(service string, exclude map[*mesh.Peer]bool) *mesh.Peer {
	br.mu.Lock()
	leaving := br.leaving
	br.mu.Unlock()
	strongest := 0.0
	if !leaving {
		strongest = br.capacity
	}
	var able []*mesh.Peer
	for _, pe := range br.mesh.Peers() {
		if pe.Up() && !exclude[pe] {
			able, strongest = append(able, pe), max(strongest, pe.Capacity())
		}
	}
	var best *mesh.Peer
	most := uint64(0)
	if !leaving && br.capacity >= ownerShare*strongest {
		most = xxhash.Sum64String(service + "\x00" + br.self)
	}
	for _, pe := range able {
		if pe.Capacity() < ownerShare*strongest {
			continue
		}
		if score := xxhash.Sum64String(service + "\x00" + pe.Address); score > most {
			best, most = pe, score
		}
	}
	return best
}

// Owns reports whether this process owns the queue of a service.
func (br *Broker) Owns(service string) bool {
	br.mu.Lock()
	leaving := br.leaving
	br.mu.Unlock()
	return !leaving && br.owner(service, nil) == nil
}

// Run brings a job to the owner of its queue and waits for its end. A job whose
// owner is lost goes to the next one within the budget of repeats. Fetched is
// called when the job's inputs have been read; it must not block.
func (br *Broker) Run(ctx context.Context, jo citronstream.Job, fetched func()) citronstream.JobResult {
	name := nameOf(&jo)
	br.fetched.Store(name, fetched)
	defer br.fetched.Delete(name)
	began := br.clk.Now()
	left, slack := jo.Left, jo.Slack
	exclude := make(map[*mesh.Peer]bool)
	var re citronstream.JobResult
	for range maxMoves {
		passed := br.clk.Since(began)
		jo.Left, jo.Slack = left-passed, slack-passed
		pe := br.owner(jo.Service, exclude)
		if pe == nil {
			return br.runLocal(ctx, jo, fetched)
		}
		var err error
		re, err = br.runRemote(ctx, pe, jo)
		if err == nil && (re.Fault == nil || re.Fault.Code != citronstream.CodeLeaving) {
			return re
		}
		exclude[pe] = true
		if err != nil {
			re.Fault = citronstream.NewFault(citronstream.NotRun, citronstream.CodeLinkLost, "the owner of service %s was lost", jo.Service)
			br.log.Info("owner lost", "request", jo.ID, "stage", jo.Stage, "service", jo.Service, "peer", pe.Name(), "reason", err.Error())
			// Pieces may have been sent by the lost owner.
			if br.budget.Take(jo.Service, len(jo.Pieces)) < len(jo.Pieces) {
				return re
			}
		}
		if ctx.Err() != nil {
			return re
		}
	}
	return re
}

func (br *Broker) runLocal(ctx context.Context, jo citronstream.Job, fetched func()) citronstream.JobResult {
	ow := br.local(jo.Service)
	if ow == nil {
		return citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "service %s is not in the configuration", jo.Service)}
	}
	ended := make(chan citronstream.JobResult, 1)
	ow.Submit(jo, func(re citronstream.JobResult) { ended <- re }, fetched)
	select {
	case re := <-ended:
		return re
	case <-ctx.Done():
		ow.Cancel(nameOf(&jo))
		return <-ended
	}
}

func (br *Broker) runRemote(ctx context.Context, pe *mesh.Peer, jo citronstream.Job) (citronstream.JobResult, error) {
	li := pe.Link()
	if li == nil {
		return citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "no link to the owner")}, nil
	}
	var re citronstream.JobResult
	err := li.Call(ctx, citronstream.MethodRunJob, &jo, &re)
	if ctx.Err() != nil {
		_ = li.Notify(citronstream.MethodCancelJob, nameOf(&jo)) // the owner ends the job at its deadline anyway
		re.Fault = citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the request has ended")
		return re, nil
	}
	return re, err
}

func nameOf(jo *citronstream.Job) citronstream.JobKey {
	return citronstream.JobKey{ID: jo.ID, Stage: jo.Stage, Service: jo.Service}
}

// Handle takes the messages of peers about jobs. It reports whether the message was one.
func (br *Broker) Handle(li *link.Link, re *link.Request) bool {
	switch re.Method {
	case citronstream.MethodRunJob:
		br.handleJob(li, re)
	case citronstream.MethodCancelJob:
		var name citronstream.JobKey
		if re.Decode(&name) == nil {
			if ow := br.local(name.Service); ow != nil {
				ow.Cancel(name)
			}
		}
	case citronstream.MethodInputsFetched:
		var name citronstream.JobKey
		if re.Decode(&name) == nil {
			if fetched, ok := br.fetched.Load(name); ok {
				fetched.(func())()
			}
		}
	case citronstream.MethodQueueLoads:
		var qu citronstream.QueueLoads
		if re.Decode(&qu) == nil {
			br.Hear(qu)
		}
	case citronstream.MethodReleaseResults:
		var rl citronstream.Release
		if re.Decode(&rl) == nil {
			br.releaseLocal(rl)
		}
	default:
		return false
	}
	return true
}

func (br *Broker) handleJob(li *link.Link, re *link.Request) {
	var jo citronstream.Job
	if err := re.Decode(&jo); err != nil {
		re.ReplyError(err)
		return
	}
	ow := br.local(jo.Service)
	br.mu.Lock()
	leaving := br.leaving
	br.mu.Unlock()
	if ow == nil || leaving {
		re.Reply(citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "this entry does not own service %s", jo.Service)})
		return
	}
	name := nameOf(&jo)
	br.attach(li, name)
	ow.Submit(jo, func(result citronstream.JobResult) {
		br.detach(li, name)
		re.Reply(result)
	}, func() { _ = li.Notify(citronstream.MethodInputsFetched, name) }) // the end of the job tells as well
}

// attach notes a job of a peer. When the link ends, its jobs are withdrawn: the
// peer has brought them to another owner.
func (br *Broker) attach(li *link.Link, name citronstream.JobKey) {
	br.remoteMu.Lock()
	defer br.remoteMu.Unlock()
	names, known := br.remote[li]
	if !known {
		names = make(map[citronstream.JobKey]bool)
		br.remote[li] = names
		br.links.Go(func() { br.watch(li) })
	}
	names[name] = true
}

func (br *Broker) detach(li *link.Link, name citronstream.JobKey) {
	br.remoteMu.Lock()
	defer br.remoteMu.Unlock()
	delete(br.remote[li], name)
}

func (br *Broker) watch(li *link.Link) {
	select {
	case <-li.Done():
	case <-br.ctx.Done():
		return // the peer brings its jobs to another owner when the link ends
	}
	br.remoteMu.Lock()
	names := br.remote[li]
	delete(br.remote, li)
	br.remoteMu.Unlock()
	for name := range names {
		if ow := br.local(name.Service); ow != nil {
			ow.Cancel(name)
		}
	}
}

// Release gives up results through the owner of their service.
func (br *Broker) Release(rl citronstream.Release) {
	if len(rl.Handles) == 0 {
		return
	}
	if pe := br.owner(rl.Service, nil); pe != nil {
		if li := pe.Link(); li != nil && li.Notify(citronstream.MethodReleaseResults, rl) == nil {
			return
		}
	}
	br.releaseLocal(rl)
}

func (br *Broker) releaseLocal(rl citronstream.Release) {
	if ow := br.local(rl.Service); ow != nil {
		ow.Release(rl.Handles, br.At)
	}
}

// QueueWait returns the time until a job of a service with this slack starts, as
// far as its owner has told.
func (br *Broker) QueueWait(service string, slack time.Duration) time.Duration {
	br.mu.Lock()
	ld, known := br.loads[service]
	br.mu.Unlock()
	if !known || br.clk.Since(ld.at) > loadLife {
		return 0
	}
	return ld.Wait(slack)
}

// Hear takes what an owner tells of its queues.
func (br *Broker) Hear(qu citronstream.QueueLoads) {
	now := br.clk.Now()
	br.mu.Lock()
	defer br.mu.Unlock()
	for service, ql := range qu.Loads {
		if len(br.loads) < maxServices || br.loads[service].at != (time.Time{}) {
			br.loads[service] = load{ql, now}
		}
	}
}

// News returns the load of the queues in this process that have work or had
// some at the last call, for the peers. It is called by one goroutine.
func (br *Broker) News() (citronstream.QueueLoads, bool) {
	qu := citronstream.QueueLoads{Loads: make(map[string]citronstream.QueueLoad)}
	br.mu.Lock()
	owners := maps.Clone(br.owners)
	br.mu.Unlock()
	for service, ow := range owners {
		busy := ow.Len() > 0
		if busy || br.told[service] {
			qu.Loads[service] = ow.Load()
		}
		br.told[service] = busy
	}
	br.Hear(qu)
	return qu, len(qu.Loads) > 0
}

// At returns the upstream that holds a result, nil when it isn't listed.
func (br *Broker) At(handle string) *node.Node {
	return br.view.Members().At(br.batcher.Maker(handle))
}
