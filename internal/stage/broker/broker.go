// Package broker submits the jobs of requests to the owners of their queues.
package broker

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/route/regions"
	"github.com/citronstream/citronstream/internal/stage/owner"
	"github.com/citronstream/citronstream/internal/stage/ownership"
	"github.com/citronstream/citronstream/internal/stage/peerjobs"
	"github.com/go-logr/logr"
)

const (
	// tickInterval is how often time-dependent state of the queues is updated.
	tickInterval = 20 * time.Millisecond
	// The state of a queue is logged every logTicks ticks.
	logTicks = 50
	// maxOwners is the number of owners to which a job is submitted in turn.
	maxOwners = 4
	// maxResumes is how often a job is asked for again at an owner whose link was lost,
	// resumeWait how long the link may take to be replaced. A reset one takes 75 ms.
	maxResumes = 2
	resumeWait = 400 * time.Millisecond
	// Queues are handed over, and the jobs of peers without a link expire, every
	// expireTicks ticks.
	expireTicks = 5
)

// Broker finds the owner of each service's queue and runs the queues that this
// process owns.
type Broker struct {
	clk     citronstream.Clock
	log     logr.Logger
	self    string // address of this process
	view    *view.View
	mesh    *mesh.Mesh
	batcher owner.Batcher
	budget  owner.Budget
	ctx     context.Context
	held    func() bool
	// capacity of this process, on the scale that peers report.
	capacity float64
	began    time.Time // start of this process
	zone     string
	zones    regions.Zones

	mu       sync.Mutex
	owners   map[queue]*owner.Owner
	leaving  bool
	loads    map[string]load  // by the name of the queue
	reported map[queue]report // what ChangedLoads returned last
	owned    map[queue]bool   // those that this process owned at the last handOver; used by tick only
	peerJobs *peerjobs.Jobs[*link.Link]
	watched  map[*link.Link]bool // links of peers with jobs
	links    sync.WaitGroup
	ended    bool // Wait was called, so that no link is watched any more
	// onFetched has a func() for each job of this process, by its
	// citronstream.JobKey.
	onFetched sync.Map
	done      chan struct{}
}

// Option configures a Broker.
type Option func(*Broker)

// WithCapacity sets the capacity of this process relative to its peers, see
// citronstream.PeerInfo.
func WithCapacity(capacity float64) Option { return func(br *Broker) { br.capacity = capacity } }

// WithHeld sets the function of owner.WithHeld.
func WithHeld(held func() bool) Option { return func(br *Broker) { br.held = held } }

// New returns a Broker that runs until ctx ends.
func New(ctx context.Context, clk citronstream.Clock, log logr.Logger, self string, vi *view.View, ms *mesh.Mesh, batcher owner.Batcher, budget owner.Budget, opts ...Option) *Broker {
	br := &Broker{
		clk: clk, log: log, self: self, view: vi, mesh: ms, batcher: batcher, budget: budget, ctx: ctx,
		began: clk.Now(), owners: make(map[queue]*owner.Owner), loads: make(map[string]load), reported: make(map[queue]report), owned: make(map[queue]bool),
		peerJobs: peerjobs.New[*link.Link](clk), watched: make(map[*link.Link]bool), done: make(chan struct{}),
		held: func() bool { return false },
	}
	for _, opt := range opts {
		opt(br)
	}
	vi.OnMembers(br.replaceMembers)
	go br.tick()
	return br
}

// Wait waits until the broker and all batches have ended.
func (br *Broker) Wait() {
	<-br.done
	br.mu.Lock()
	br.ended = true
	br.mu.Unlock()
	br.links.Wait()
	for _, ow := range br.allOwners() {
		ow.Wait()
	}
}

// Leave stops ownership and ends the jobs of which nothing was sent, so that
// their entries submit them to the next owners.
func (br *Broker) Leave() {
	br.mu.Lock()
	br.leaving = true
	br.mu.Unlock()
	for _, ow := range br.allOwners() {
		ow.Leave()
	}
}

// Idle reports whether no queue of this process has a job.
func (br *Broker) Idle() bool {
	for _, ow := range br.allOwners() {
		if ow.Len() > 0 {
			return false
		}
	}
	return true
}

// Each calls a function for each queue in this process. Its name is that of the service,
// with the regions that its jobs are restricted to.
func (br *Broker) Each(each func(name string, ow *owner.Owner)) {
	br.mu.Lock()
	defer br.mu.Unlock()
	for qu, ow := range br.owners {
		each(qu.name(), ow)
	}
}

func (br *Broker) allOwners() []*owner.Owner {
	br.mu.Lock()
	defer br.mu.Unlock()
	all := make([]*owner.Owner, 0, len(br.owners))
	for _, ow := range br.owners {
		all = append(all, ow)
	}
	return all
}

// tick updates the queues periodically.
func (br *Broker) tick() {
	defer close(br.done)
	ticker := br.clk.NewTicker(tickInterval)
	defer ticker.Stop()
	for count := 1; ; count++ {
		select {
		case <-br.ctx.Done():
			return
		case <-ticker.Chan():
		}
		for _, ow := range br.allOwners() {
			ow.Tick()
		}
		if count%expireTicks == 0 {
			br.expirePeerJobs()
			br.handOver()
		}
		if count%logTicks == 0 {
			br.Each(br.logState)
		}
	}
}

// logState logs the state of a queue that has work.
func (br *Broker) logState(service string, ow *owner.Owner) {
	st := ow.State()
	if st.Jobs == 0 {
		return
	}
	br.log.Info("queue", "service", service, "jobs", st.Jobs, "waiting", st.Waiting, "late", st.Late, "pieces", st.Pending,
		"upstreams", st.Upstreams, "busy", st.Busy, "used", int(100*st.Used), "batches", st.Batches, "items", st.Items,
		"refused", st.Refused, "broken", st.Broken, "no room", st.NoMemory, "repeated", st.Repeated, "expired", st.Expired)
}

// handOver ends the jobs of which nothing was sent in queues that this process no
// longer owns, so that their entries submit them to the new owner. What comes
// afterwards, from entries that see another owner, stays here.
func (br *Broker) handOver() {
	br.mu.Lock()
	owners := maps.Clone(br.owners)
	br.mu.Unlock()
	for qu, ow := range owners {
		owns := br.owns(qu)
		if !owns && br.owned[qu] && ow.Len() > 0 {
			br.log.Info("queue handed over", "service", qu.name(), "jobs", ow.Len())
			ow.Leave()
		}
		br.owned[qu] = owns
	}
}

// replaceMembers passes the new list of upstreams to the queues.
func (br *Broker) replaceMembers(ms *view.Members) {
	br.mu.Lock()
	defer br.mu.Unlock()
	for qu, ow := range br.owners {
		ow.Replace(br.upstreams(ms, qu))
	}
}

// localOwner returns this process's queue, nil if the configuration has no such service.
func (br *Broker) localOwner(qu queue) *owner.Owner {
	routes := br.view.Routes()
	if routes == nil || routes.Services[qu.service].Batch == nil {
		return nil
	}
	spec := *routes.Services[qu.service].Batch
	br.mu.Lock()
	defer br.mu.Unlock()
	ow := br.owners[qu]
	if ow == nil {
		ow = owner.New(br.ctx, br.clk, br.log, qu.service, spec, br.batcher, br.budget, owner.WithHeld(br.held))
		br.owners[qu] = ow
		ow.Replace(br.upstreams(br.view.Members(), qu))
	} else {
		ow.Configure(spec)
	}
	return ow
}

// remoteOwner returns the entry that owns a queue, nil for this one, which also runs the
// jobs that may go to no other one.
// A peer whose link was lost a moment ago counts as well: its link is mostly
// replaced at once.
func (br *Broker) remoteOwner(qu queue, exclude map[*mesh.Peer]bool) *mesh.Peer {
	br.mu.Lock()
	leaving := br.leaving
	br.mu.Unlock()
	peers := make(map[string]*mesh.Peer)
	var candidates []ownership.Candidate
	if !leaving && br.zones.Allows(qu.regions, br.zone) {
		candidates = append(candidates, ownership.Candidate{Address: br.self, Capacity: br.capacity, Age: br.clk.Since(br.began)})
	}
	for _, pe := range br.mesh.Peers() {
		if (pe.Up() || br.justLost(pe)) && !exclude[pe] && br.zones.Allows(qu.regions, pe.Zone()) {
			peers[pe.Address] = pe
			candidates = append(candidates, ownership.Candidate{Address: pe.Address, Capacity: pe.Capacity(), Age: pe.Age()})
		}
	}
	return peers[ownership.Owner(qu.name(), candidates)]
}

// justLost reports whether a peer's link was lost a moment ago.
func (br *Broker) justLost(pe *mesh.Peer) bool {
	return pe.Link() == nil && !pe.Leaving() && pe.Boot() != "" && pe.UnreachableFor() < resumeWait
}

// Owns reports whether this process owns the queue of a service.
func (br *Broker) Owns(service string) bool { return br.owns(queue{service: service}) }

func (br *Broker) owns(qu queue) bool {
	br.mu.Lock()
	leaving := br.leaving
	br.mu.Unlock()
	return !leaving && br.remoteOwner(qu, nil) == nil
}

// Run submits a job to the owner of its queue and waits for its end. If the
// owner is lost, the job is submitted to the next one within the retry budget.
// Fetched is called when the job's inputs have been read; it must not block.
func (br *Broker) Run(ctx context.Context, jo citronstream.Job, fetched func()) citronstream.JobResult {
	key := jobKey(&jo)
	br.onFetched.Store(key, fetched)
	defer br.onFetched.Delete(key)
	began := br.clk.Now()
	left, slack := jo.Left, jo.Slack
	exclude := make(map[*mesh.Peer]bool)
	var re citronstream.JobResult
	for range maxOwners {
		passed := br.clk.Since(began)
		jo.Left, jo.Slack = left-passed, slack-passed
		pe := br.remoteOwner(jobKeyQueue(key), exclude)
		if pe == nil {
			if re = br.runLocal(ctx, jo, fetched); re.Fault == nil || re.Fault.Code != citronstream.CodeLeaving || ctx.Err() != nil {
				return re
			}
			continue // the queue was handed over
		}
		var err error
		re, err = br.runRemote(ctx, pe, jo)
		if err == nil && (re.Fault == nil || re.Fault.Code != citronstream.CodeLeaving) {
			return re
		}
		exclude[pe] = err == nil || !pe.Up() // one that lives but has forgotten the job gets it again
		if err != nil {
			re.Fault = citronstream.NewFault(citronstream.NotRun, citronstream.CodeLinkLost, "lost the connection to the owner of service %s", jo.Service)
			br.log.Info("owner lost", "request", jo.ID, "stage", jo.Stage, "service", jo.Service, "peer", pe.Name(), "reason", err.Error())
			// The lost owner may have sent pieces already.
			if !br.budget.TakeAll(jo.Service, len(jo.Pieces)) {
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
	ow := br.localOwner(jobKeyQueue(jobKey(&jo)))
	if ow == nil {
		return citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "service %s is not in the configuration", jo.Service)}
	}
	ended := make(chan citronstream.JobResult, 1)
	ow.Submit(jo, func(re citronstream.JobResult) { ended <- re }, fetched)
	select {
	case re := <-ended:
		return re
	case <-ctx.Done():
		cancelJob(ow, jobKey(&jo), "")
		return <-ended
	}
}

// runRemote submits a job to its owner. If the link is lost and the owner lives, the
// job is asked for over the next link: it has gone on meanwhile.
func (br *Broker) runRemote(ctx context.Context, pe *mesh.Peer, jo citronstream.Job) (citronstream.JobResult, error) {
	li, boot := pe.Link(), pe.Boot()
	if li == nil {
		li, boot = br.reopened(ctx, pe, nil, resumeWait-pe.UnreachableFor()), pe.Boot()
	}
	if li == nil {
		return citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "no link to the owner")}, nil
	}
	jo.Attempt = citronstream.NewID()
	re, err := br.call(ctx, li, &jo)
	for range maxResumes {
		if err == nil {
			break
		}
		if li = br.reopened(ctx, pe, li, resumeWait); li == nil || pe.Boot() != boot {
			break
		}
		jo.Resume = true
		resumed, resumeErr := br.call(ctx, li, &jo)
		if resumeErr == nil && resumed.Fault != nil && resumed.Fault.Code == citronstream.CodeNotFound {
			break
		}
		br.log.Info("job resumed", "request", jo.ID, "stage", jo.Stage, "service", jo.Service, "peer", pe.Name(), "reason", err.Error())
		re, err = resumed, resumeErr
	}
	return re, err
}

// call sends a job over a link and waits for its result.
func (br *Broker) call(ctx context.Context, li *link.Link, jo *citronstream.Job) (re citronstream.JobResult, err error) {
	err = li.Call(ctx, citronstream.MethodRunJob, jo, &re)
	if ctx.Err() != nil {
		_ = li.Notify(citronstream.MethodCancelJob, jobKey(jo)) // without it the owner ends the job at its deadline
		re.Fault = citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the request has ended")
		return re, nil
	}
	return re, err
}

// reopened waits for the link that replaces a lost one; nil if it takes too long.
func (br *Broker) reopened(ctx context.Context, pe *mesh.Peer, lost *link.Link, wait time.Duration) *link.Link {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer br.clk.AfterFunc(wait, cancel).Stop()
	return pe.Reopened(ctx, lost)
}

func jobKey(jo *citronstream.Job) citronstream.JobKey {
	return citronstream.JobKey{ID: jo.ID, Stage: jo.Stage, Service: jo.Service, Regions: jo.Regions}
}

// jobKeyQueue returns the queue of a job.
func jobKeyQueue(key citronstream.JobKey) queue {
	return queue{key.Service, regions.Set(key.Regions)}
}

// cancelJob cancels a job in its queue, which does not tell regions apart.
func cancelJob(ow *owner.Owner, key citronstream.JobKey, attempt string) {
	key.Regions = ""
	ow.Cancel(key, attempt)
}

// Release releases results through the owner of their service.
func (br *Broker) Release(rl citronstream.Release) {
	if len(rl.Handles) == 0 {
		return
	}
	if pe := br.remoteOwner(queue{rl.Service, regions.Set(rl.Regions)}, nil); pe != nil {
		if li := pe.Link(); li != nil && li.Notify(citronstream.MethodReleaseResults, rl) == nil {
			return
		}
	}
	br.releaseLocal(rl)
}

func (br *Broker) releaseLocal(rl citronstream.Release) {
	if ow := br.localOwner(queue{rl.Service, regions.Set(rl.Regions)}); ow != nil {
		ow.Release(rl.Handles, rl.Bytes, func(handle string) *node.Node { return br.releasable(rl.Service, handle) })
	}
}

// releasable returns the upstream that is told of a released result, nil for none: those of
// evacuated zones get no calls, and drop results by themselves.
func (br *Broker) releasable(service, handle string) *node.Node {
	nd := br.ResultNode(service, handle)
	if nd == nil || br.view.Members().Evacuated(nd.Zone) {
		return nil
	}
	return nd
}

// ResultNode returns the upstream of a service that holds a result, nil if it isn't listed.
func (br *Broker) ResultNode(service, handle string) *node.Node {
	return br.view.Members().ServiceAt(service, br.batcher.ResultAddress(handle))
}
