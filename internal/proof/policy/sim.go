package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/stagetime"
	"github.com/jonboulle/clockwork"
)

// reportEvery is the interval, and so the greatest lag, of load reports.
const reportEvery = 250 * time.Millisecond

// Sim runs scenarios. Runs of the same seed have the same arrivals whatever
// the policy, and whatever the scenario adds to them.
type Sim struct {
	site   Site
	policy Policy
}

// Option changes a Sim.
type Option func(*Sim)

// WithSite sets the site. Default Magnolia.
func WithSite(si Site) Option { return func(sm *Sim) { sm.site = si } }

// WithPolicy sets the policy. Default Fair with the default routing policy.
func WithPolicy(po Policy) Option { return func(sm *Sim) { sm.policy = po } }

// New returns a Sim.
func New(opts ...Option) *Sim {
	sm := &Sim{site: Magnolia(), policy: Fair(nil)}
	for _, opt := range opts {
		opt(sm)
	}
	return sm
}

// Run runs a scenario from a seed until each request has ended.
func (sm *Sim) Run(sc Scenario, seed uint64) Outcome {
	ru := &run{
		site: sm.site, policy: sm.policy, scenario: sc, seed: seed, fleet: sm.site.fleet(),
		clk: clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		out: newOutcome(sm.policy, sm.site, sc, seed), agents: make(map[string][]*agent), byName: make(map[string]*agent),
	}
	ru.start = ru.clk.Now().Add(warmUp)
	for _, ti := range ru.site.Tiers {
		for i := range ti.Upstreams {
			ag := ru.newAgent(ti, i)
			ru.agents[ti.Service] = append(ru.agents[ti.Service], ag)
			ru.byName[ag.name] = ag
		}
	}
	for zone := range ru.site.Zones {
		ru.entries = append(ru.entries, ru.newEntry(zone))
	}
	ru.schedule()
	for ru.events.Len() > 0 {
		ev := heap.Pop(&ru.events).(event)
		ru.clk.Advance(ev.at.Sub(ru.clk.Now()))
		ev.do()
	}
	return *ru.out
}

// run is the state of one run.
type run struct {
	site     Site
	policy   Policy
	scenario Scenario
	seed     uint64
	fleet    citronstream.Fleet
	clk      *clockwork.FakeClock
	start    time.Time // of the measured time
	out      *Outcome
	agents   map[string][]*agent
	byName   map[string]*agent
	entries  []*entry
	events   events
	seq      uint64
}

func (ru *run) source(name string) rand.Source { return rand.NewPCG(ru.seed, xxhash.Sum64String(name)) }

func (ru *run) random(name string) *rand.Rand { return rand.New(ru.source(name)) }

func (ru *run) since() time.Duration { return ru.clk.Now().Sub(ru.start) }

func (ru *run) after(wait time.Duration, do func()) {
	ru.seq++
	heap.Push(&ru.events, event{ru.clk.Now().Add(max(wait, 0)), ru.seq, do})
}

func (ru *run) delay(from, to int) time.Duration {
	if from == to {
		return 100 * time.Microsecond
	}
	return ru.site.Distance
}

func (ru *run) slowness(service string) float64 {
	if service == ru.scenario.SlowService && ru.scenario.on(ru.since()) {
		return ru.scenario.SlowBy
	}
	return 1
}

// dispatched counts a call that begins towards each rank that has work waiting
// at the same upstream.
func (ru *run) dispatched(ca *call) {
	if !ru.scenario.on(ru.since()) {
		return
	}
	backlogs := ru.out.Backlogs[ca.tier.Service]
	for rank, count := range ca.to.waiting {
		if count > 0 {
			backlogs[rank].All += ca.it.Cost
		}
	}
	backlogs[ca.re.rank].Own += ca.it.Cost
}

func (ru *run) served(ca *call, cost float64) {
	ru.out.Cost[ca.tier.Service] += cost
	ru.out.Served[ca.tier.Service][ca.re.rank] += cost * ru.scenario.overlap(ca.began.Sub(ru.start), ru.since())
	ca.re.cost += cost
	if ca.re.ended {
		ru.out.Wasted += cost
	}
}

// schedule plans arrivals, reports and the loss of the zone.
func (ru *run) schedule() {
	ordinary, capacity := ru.site.rates()
	sc := ru.scenario
	for ws, share := range ru.site.Shares {
		for rank, rate := range ordinary {
			ru.arrivals(ws, rank, "ordinary", rate*share, 0, warmUp+measured, false)
			if sc.Surge > 1 {
				ru.arrivals(ws, rank, "surge", rate*share*(sc.Surge-1), warmUp+sc.From, warmUp+sc.Until, false)
			}
		}
	}
	if sc.FloodBy > 0 {
		ru.arrivals(0, sc.FloodRank, "flood", capacity[sc.FloodRank]*sc.FloodBy, warmUp+sc.From, warmUp+sc.Until, true)
	}
	for at := time.Duration(0); at < warmUp+measured; at += reportEvery {
		ru.after(at, ru.report)
	}
	if sc.LostZone {
		ru.after(warmUp+sc.From, func() { ru.setZone(0, true) })
		ru.after(warmUp+sc.Until, func() { ru.setZone(0, false) })
	}
}

// arrivals plans a Poisson process.
func (ru *run) arrivals(ws, rank int, kind string, rate float64, from, until time.Duration, flood bool) {
	random := ru.random(kind + " " + workspaceName(ws) + " " + ru.site.Ranks[rank].Name)
	var next func()
	next = func() {
		if ru.clk.Now().Sub(ru.start)+warmUp >= until {
			return
		}
		ru.arrive(ws, rank, flood, random)
		ru.after(duration(random.ExpFloat64()/rate), next)
	}
	ru.after(from+duration(random.ExpFloat64()/rate), next)
}

// arrive makes a request with true costs of 0.5 to 1.5 x the mean, and
// estimates that are off by up to 30%.
func (ru *run) arrive(ws, rank int, flood bool, random *rand.Rand) {
	re := &request{
		rank: rank, workspace: ws, flood: flood, measured: ru.since() >= 0,
		deadline: ru.clk.Now().Add(ru.site.Ranks[rank].Deadline.Std()),
	}
	for _, st := range ru.site.Flows[rank].Steps {
		cost := st.Cost * (0.5 + random.Float64())
		re.costs = append(re.costs, cost)
		re.estimates = append(re.estimates, stagetime.Stage{Service: st.Service, Cost: cost * (0.7 + 0.6*random.Float64())})
	}
	ru.out.Requests++
	if re.measured {
		ru.out.count(re, func(ta *Tally) { ta.Offered++ })
	}
	// Entries of a lost zone get no callers: the platform's load balancer avoids them.
	first := 0
	if ru.scenario.LostZone && ru.scenario.on(ru.since()) {
		first = 1
	}
	ru.entries[first+random.IntN(len(ru.entries)-first)].accept(re)
}

func (ru *run) report() {
	for _, ti := range ru.site.Tiers {
		for _, ag := range ru.agents[ti.Service] {
			if ag.silent {
				continue
			}
			lo := ag.load()
			for _, en := range ru.entries {
				if taker, ok := en.pickers[ti.Service].(LoadTaker); ok {
					ru.after(ru.delay(en.zone, ag.zone), func() { taker.TakeLoad(lo) })
				}
			}
		}
	}
}

// setZone loses a zone or brings it back. Entries notice the loss after the
// silence, and the return by the next load report.
func (ru *run) setZone(zone int, lost bool) {
	for _, ti := range ru.site.Tiers {
		for _, ag := range ru.agents[ti.Service] {
			if ag.zone != zone {
				continue
			}
			if !lost {
				ag.silent = false
				continue
			}
			inFlight := ag.lose()
			ru.after(silence, func() {
				for _, en := range ru.entries {
					if taker, ok := en.pickers[ti.Service].(LoadTaker); ok {
						taker.TakeLoad(citronstream.Load{Upstream: ag.name, Down: true})
					}
				}
				for _, ca := range inFlight {
					ca.en.lost(ca)
				}
			})
		}
	}
}
