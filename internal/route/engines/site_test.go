package engines

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/jonboulle/clockwork"
)

// The figures of an engine, as measured on the users' bench.
const (
	simSlots     = 64
	simStep      = 3.79   // ms of a step
	simStepMore  = 0.0893 // ms more for each running request
	simReadRate  = 56.6   // prompt tokens per ms
	simChunk     = 2048   // prompt tokens read between two steps
	simPerEvent  = 7      // tokens out of an event
	simLatency   = 900 * time.Microsecond
	simSlowSpeed = 0.55
)

// simKind is a kind of request.
type simKind struct {
	rate   float64 // a second
	own    int     // prompt tokens that no other request has, on average
	first  int     // tokens of the part that several sessions share
	groups int     // number of such parts
	part   int     // tokens of the part of a session
	parts  int     // number of sessions
	events int
	slack  time.Duration // of the target, what the stages leave
}

var simKinds = []simKind{
	{rate: 24, own: 1228, first: 512, groups: 1, part: 4870, parts: 568, events: 55, slack: time.Second},
	{rate: 38, own: 430, first: 119, groups: 80, part: 79, parts: 229, events: 42, slack: 1500 * time.Millisecond},
	{rate: 31, own: 1232, first: 341, groups: 40, part: 227, parts: 321, events: 3, slack: 3500 * time.Millisecond},
}

// simSite is the setting of a simulation.
type simSite struct {
	gateways, engines int
	tell              time.Duration // between two messages of a gateway's load
	span              time.Duration
	rate              float64 // times the usual rate
	slow              int     // one engine in so many has simSlowSpeed; 0 for none
	bursts            bool    // of 2.4 times for 6 s, every 12 s
	stalls            bool    // each engine is slowed 2.5 times for 0.6 s at a time, a sixth of the time
}

// simArrival is a request of a simulation.
type simArrival struct {
	at            time.Duration
	gateway, kind int
	rq            Request
}

// simArrivals draws the arrivals: groups of three requests of a kind at any gateways.
func simArrivals(si simSite, seed uint64) (list []simArrival) {
	draw := rand.New(rand.NewPCG(seed, 2))
	for k, ki := range simKinds {
		for at := time.Duration(0); at < si.span; {
			rate := ki.rate / 3 * si.rate
			if si.bursts && at%(12*time.Second) >= 6*time.Second {
				rate *= 2.4
			}
			at += time.Duration(draw.ExpFloat64() / rate * float64(time.Second))
			for range 3 {
				session := uint64(math.Pow(draw.Float64(), 1/(1-0.3)) * float64(ki.parts)) // skew 0.3
				parts := []citronstream.PromptPart{
					{ID: uint64(k+1)<<32 | session%uint64(ki.groups), Tokens: ki.first}, {ID: uint64(k+1)<<40 | session, Tokens: ki.part},
				}
				own := int(float64(ki.own) * min(8, draw.ExpFloat64()))
				list = append(list, simArrival{at, draw.IntN(si.gateways), k, Request{Tokens: ki.first + ki.part + own, Shared: parts, Slack: ki.slack}})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b simArrival) int { return cmp.Compare(a.at, b.at) })
	return list
}

// simOutcome is what a simulation measured.
type simOutcome struct {
	all, inTime int
	first       []float64 // ms to the first event, of all requests
	stream      float64   // ms from the first event to the end, sum
	streams     int
	ratio       float64 // busiest to mean in a window, sum
	windows     int
	waits       float64 // ms that prompts waited while an engine was idle, sum
	reread      int     // tokens of shared parts that another engine had read
	messages    int
	bytes       int
}

func (so *simOutcome) add(other simOutcome) {
	so.all += other.all
	so.inTime += other.inTime
	so.first = append(so.first, other.first...)
	so.stream += other.stream
	so.streams += other.streams
	so.ratio += other.ratio
	so.windows += other.windows
	so.waits += other.waits
	so.reread += other.reread
	so.messages += other.messages
	so.bytes += other.bytes
}

// mean returns the mean time to the first event in ms, p99 its 99th percentile.
func (so *simOutcome) mean() (sum float64) {
	for _, ms := range so.first {
		sum += ms
	}
	return sum / float64(len(so.first))
}

func (so *simOutcome) p99() float64 {
	sorted := slices.Sorted(slices.Values(so.first))
	return sorted[len(sorted)*99/100]
}

func (so *simOutcome) late() int { return so.all - so.inTime }

func (so *simOutcome) evenness() float64 { return so.ratio / float64(so.windows) }

func (so *simOutcome) String() string {
	return fmt.Sprintf("late %d of %d, first event %.1f ms, p99 %.0f, stream %.0f ms, busiest/mean %.2f, waits with idle engines %.2f ms a request, read again %.0f tokens a request, %.1f messages and %.0f bytes a request",
		so.late(), so.all, so.mean(), so.p99(), so.stream/float64(so.streams), so.evenness(), so.waits/float64(so.all),
		float64(so.reread)/float64(so.all), float64(so.messages)/float64(so.all), float64(so.bytes)/float64(so.all))
}

// simEvent is a function that runs at a time.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (sq simQueue) Len() int { return len(sq) }
func (sq simQueue) Less(i, j int) bool {
	return sq[i].at < sq[j].at || sq[i].at == sq[j].at && sq[i].seq < sq[j].seq
}
func (sq simQueue) Swap(i, j int) { sq[i], sq[j] = sq[j], sq[i] }
func (sq *simQueue) Push(x any)   { *sq = append(*sq, x.(simEvent)) }
func (sq *simQueue) Pop() any {
	last := (*sq)[len(*sq)-1]
	*sq = (*sq)[:len(*sq)-1]
	return last
}

// simJob is a request at an engine.
type simJob struct {
	simArrival
	nd     *node.Node
	sentAt time.Duration
	begun  time.Duration // first event
	unread int           // -1 before it has a slot
	steps  int
}

// left returns the tokens that are to be read.
func (jo *simJob) left() int {
	if jo.unread < 0 {
		return jo.rq.unread
	}
	return jo.unread
}

// simEngine reads prompts in chunks between steps of its running requests.
type simEngine struct {
	sim     *sim
	index   int
	speed   float64
	phase   time.Duration // of its stalls
	cached  map[uint64]bool
	coming  []*simJob // on their way
	waiting []*simJob // for a slot
	prompts []*simJob // with a slot
	running []*simJob
	busy    bool
	load    float64 // requests times ns since the window began
	since   time.Duration
}

// sim is the state of a simulation.
type sim struct {
	simSite
	clk     *clockwork.FakeClock
	now     time.Duration
	queue   simQueue
	seq     int
	pickers []*Picker
	rules   []simRule
	nodes   [][]*node.Node // by gateway
	engines []*simEngine
	took    []map[int]float64   // by gateway and kind: moving average of ms to the first event
	reports []map[int]simReport // by gateway and engine: the last load that it told
	out     simOutcome
	// sends is called for each request that is sent; cut reports whether a gateway neither
	// tells its load nor hears that of others; listed returns the number of engines that
	// the gateways know. All may be nil.
	sends  func(gateway int, nd *node.Node)
	cut    func(gateway int) bool
	listed func() int
}

// simReport is the load that an engine tells with a response.
type simReport struct {
	at      time.Duration
	running int
}

// kill ends some gateways: their requests leave the engines.
func (sm *sim) kill(dead func(gateway int) bool) {
	for _, en := range sm.engines {
		en.count()
		for _, list := range []*[]*simJob{&en.coming, &en.waiting, &en.prompts, &en.running} {
			*list = slices.DeleteFunc(*list, func(jo *simJob) bool {
				if dead(jo.gateway) && jo.begun == 0 {
					sm.out.all-- // it is no longer expected
				}
				return dead(jo.gateway)
			})
		}
	}
}

// report records the load that an engine tells with a response to a gateway.
func (sm *sim) report(jo *simJob) {
	index := slices.Index(sm.nodes[jo.gateway], jo.nd)
	sm.reports[jo.gateway][index] = simReport{sm.now, sm.engines[index].requests()}
}

// simRule chooses an engine, as Picker.choose does.
type simRule func(pi *Picker, nodes []*node.Node, rq *Request) (*node.Node, int)

// newSim returns a simulation with a rule for each gateway.
func newSim(si simSite, rule func(sm *sim, gateway int) simRule) *sim {
	sm := &sim{simSite: si, clk: clockwork.NewFakeClock()}
	for i := range si.engines {
		en := &simEngine{sim: sm, index: i, speed: 1, cached: make(map[uint64]bool), phase: time.Duration(i) * 900 * time.Millisecond}
		if si.slow > 0 && i%si.slow == 0 {
			en.speed = simSlowSpeed
		}
		sm.engines = append(sm.engines, en)
	}
	for g := range si.gateways {
		nodes := make([]*node.Node, si.engines)
		for i := range nodes {
			nodes[i] = node.New(citronstream.Member{ID: fmt.Sprintf("e%d", i), Slots: simSlots})
		}
		sm.nodes = append(sm.nodes, nodes)
		sm.reports = append(sm.reports, make(map[int]simReport))
		sm.took = append(sm.took, make(map[int]float64))
		sm.pickers = append(sm.pickers, New(sm.clk))
		sm.rules = append(sm.rules, rule(sm, g))
		sm.after(si.tell*time.Duration(g)/time.Duration(si.gateways), func() { sm.tellAlways(g) })
	}
	sm.after(simWindow, sm.window)
	sm.after(simSample, sm.sample)
	return sm
}

const (
	simWindow = 500 * time.Millisecond
	simSample = 10 * time.Millisecond
)

// play plays the arrivals and returns what was measured.
func (sm *sim) play(list []simArrival) simOutcome {
	for _, ar := range list {
		sm.at(ar.at, func() { sm.arrive(ar) })
	}
	for sm.queue.Len() > 0 && sm.queue[0].at < sm.span+2*time.Second {
		ev := heap.Pop(&sm.queue).(simEvent)
		sm.clk.Advance(ev.at - sm.now)
		sm.now = ev.at
		ev.run()
	}
	return sm.out
}

func (sm *sim) after(wait time.Duration, run func()) { sm.at(sm.now+wait, run) }

func (sm *sim) at(at time.Duration, run func()) {
	sm.seq++
	heap.Push(&sm.queue, simEvent{at, sm.seq, run})
}

func (sm *sim) isCut(gateway int) bool { return sm.cut != nil && sm.cut(gateway) }

func (sm *sim) tellAlways(gateway int) {
	sm.tellPeers(gateway)
	sm.after(sm.tell, func() { sm.tellAlways(gateway) })
}

// tellPeers sends the load of a gateway to all others.
func (sm *sim) tellPeers(gateway int) {
	if sm.isCut(gateway) {
		return
	}
	load, changed := sm.pickers[gateway].ChangedLoad()
	if !changed {
		return
	}
	raw, _ := json.Marshal(load)
	sm.out.messages += sm.gateways - 1
	sm.out.bytes += (sm.gateways - 1) * len(raw)
	sm.after(simLatency, func() {
		for other, pi := range sm.pickers {
			if other != gateway && !sm.isCut(other) {
				pi.UpdateLoad(fmt.Sprint(gateway), load)
			}
		}
	})
}

// arrive lets a gateway choose an engine for a request.
func (sm *sim) arrive(ar simArrival) {
	pi := sm.pickers[ar.gateway]
	jo := &simJob{simArrival: ar, sentAt: sm.now, unread: -1}
	nodes := sm.nodes[ar.gateway]
	if sm.listed != nil {
		nodes = nodes[:sm.listed()]
	}
	nd, unread := sm.rules[ar.gateway](pi, nodes, &jo.rq)
	pi.add(nd, &jo.rq, unread)
	if sm.sends != nil {
		sm.sends(ar.gateway, nd)
	}
	select {
	case <-pi.Urgent():
		sm.tellPeers(ar.gateway)
	default:
	}
	jo.nd = nd
	en := sm.engines[slices.Index(sm.nodes[ar.gateway], nd)]
	sm.out.all++
	en.coming = append(en.coming, jo)
	sm.after(simLatency, func() {
		en.count()
		if !slices.Contains(en.coming, jo) {
			return // its gateway was killed
		}
		en.coming = slices.DeleteFunc(en.coming, func(other *simJob) bool { return other == jo })
		en.waiting = append(en.waiting, jo)
		en.step()
	})
}

// firstEvent passes on the first event of a request.
func (sm *sim) firstEvent(jo *simJob) {
	took := float64((sm.now - jo.sentAt).Microseconds()) / 1e3
	if sm.out.first = append(sm.out.first, took); sm.now-jo.sentAt <= simKinds[jo.kind].slack {
		sm.out.inTime++
	}
	sm.report(jo)
	sm.pickers[jo.gateway].FirstEvent(jo.nd, jo.rq)
	usual := sm.took[jo.gateway]
	if usual[jo.kind] == 0 {
		usual[jo.kind] = took
	}
	jo.nd.RequestDone(took / usual[jo.kind])
	usual[jo.kind] += 0.1 * (took - usual[jo.kind])
}

func (sm *sim) end(jo *simJob) {
	sm.out.stream += float64((sm.now - jo.begun).Microseconds()) / 1e3
	sm.out.streams++
	sm.pickers[jo.gateway].End(jo.nd, jo.rq, true)
}

// window measures the busiest engine of a window against the mean.
func (sm *sim) window() {
	most, sum := 0.0, 0.0
	for _, en := range sm.engines {
		en.count()
		most, sum = max(most, en.load), sum+en.load
		en.load = 0
	}
	if sum > 0 && sm.now > 2*time.Second && sm.now <= sm.span {
		sm.out.ratio += most / (sum / float64(len(sm.engines)))
		sm.out.windows++
	}
	sm.after(simWindow, sm.window)
}

// sample counts the prompts that wait behind others while an engine has no request.
func (sm *sim) sample() {
	behind, idle := 0, false
	for _, en := range sm.engines {
		behind += max(0, len(en.prompts)-1) + len(en.waiting)
		idle = idle || en.requests() == 0
	}
	if idle {
		sm.out.waits += float64(behind) * float64(simSample.Milliseconds())
	}
	sm.after(simSample, sm.sample)
}

func (en *simEngine) requests() int { return len(en.waiting) + len(en.prompts) + len(en.running) }

// count adds the load since the last call; it is called before the load changes.
func (en *simEngine) count() {
	en.load += float64(en.requests()) * float64(en.sim.now-en.since)
	en.since = en.sim.now
}

// step begins the next step, unless one is running or there is nothing to do.
func (en *simEngine) step() {
	for len(en.waiting) > 0 && len(en.prompts)+len(en.running) < simSlots {
		jo := en.waiting[0]
		en.waiting, en.prompts = en.waiting[1:], append(en.prompts, jo)
		jo.unread = en.read(&jo.rq)
	}
	if en.busy || len(en.prompts)+len(en.running) == 0 {
		return
	}
	en.busy = true
	ms, chunk := 0.0, 0
	if len(en.running) > 0 {
		ms = simStep + simStepMore*float64(len(en.running))
	}
	if len(en.prompts) > 0 {
		chunk = min(simChunk, en.prompts[0].unread)
		ms += float64(chunk) / simReadRate
	}
	ms /= en.speed
	if en.sim.stalls && (en.sim.now+en.phase)%(3600*time.Millisecond) < 600*time.Millisecond {
		ms *= 2.5
	}
	en.sim.after(time.Duration(ms*float64(time.Millisecond)), func() { en.stepped(chunk, len(en.running)) })
}

// stepped ends a step of the first running requests.
func (en *simEngine) stepped(chunk, running int) {
	sm := en.sim
	en.count()
	left := en.running[:0]
	for i, jo := range en.running {
		if i < running {
			jo.steps++
		}
		if jo.steps == simPerEvent && jo.begun == 0 {
			jo.begun = sm.now + simLatency
			sm.after(simLatency, func() { sm.firstEvent(jo) })
		}
		if jo.steps < simPerEvent*simKinds[jo.kind].events {
			left = append(left, jo)
			continue
		}
		sm.after(simLatency, func() { sm.end(jo) })
	}
	en.running = left
	if len(en.prompts) > 0 {
		jo := en.prompts[0]
		if jo.unread -= chunk; jo.unread <= 0 {
			en.prompts, en.running = en.prompts[1:], append(en.running, jo)
		}
	}
	en.busy = false
	en.step()
}

// read returns the tokens of a prompt that are not cached, and counts those that another
// engine has cached.
func (en *simEngine) read(rq *Request) int {
	unread := rq.Tokens
	for i, part := range rq.Shared {
		if en.cached[part.ID] {
			unread -= part.Tokens
			continue
		}
		for _, missed := range rq.Shared[i:] {
			for _, other := range en.sim.engines {
				if other.cached[missed.ID] {
					en.sim.out.reread += missed.Tokens
					break
				}
			}
			en.cached[missed.ID] = true
		}
		break
	}
	return unread
}
