package policy

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/discipline"
)

// call is an attempt of a request at one stage.
type call struct {
	re     *request
	en     *entry
	to     *agent
	number int
	tier   Tier
	cost   float64 // true cost
	it     citronstream.Item
	sent   time.Time
	pushed time.Time
	waits  bool      // in the queue of the agent
	began  time.Time // zero until it runs
	ended  bool      // at the agent
	over   bool      // at the entry
}

// agent is an upstream with its queue.
type agent struct {
	sim     *run
	name    string
	zone    int
	tier    Tier
	queue   citronstream.Discipline
	running int
	cost    float64        // estimated, of what runs
	open    map[*call]bool // sent by entries and not answered
	silent  bool
	random  *rand.Rand
	seq     int
	waiting []int   // calls by rank
	rate    float64 // cost units a second at full use, decayed as the agent's server does
}

func (ru *run) newAgent(ti Tier, index int) *agent {
	name := ti.Service + "-" + strconv.Itoa(index)
	return &agent{
		sim: ru, name: name, zone: index % ru.site.Zones, tier: ti, open: make(map[*call]bool), waiting: make([]int, len(ru.site.Ranks)),
		queue:  ru.newQueue(ti),
		random: ru.random("agent " + name),
	}
}

func (ru *run) newQueue(ti Tier) citronstream.Discipline {
	return ru.policy.Discipline(discipline.Settings{Clock: ru.clk, Fleet: ru.fleet, Capacity: ti.Capacity, Rate: ti.rate()})
}

func (ag *agent) receive(ca *call) {
	if ag.silent || ca.over {
		return
	}
	ag.seq++
	ca.it.ID = strconv.Itoa(ag.seq)
	ca.it.Value = ca
	ca.pushed = ag.sim.clk.Now()
	displaced, err := ag.queue.Push(ca.it)
	if err != nil {
		ag.answer(ca, err)
	} else {
		ca.waits = true
		ag.waiting[ca.re.rank]++
	}
	ag.reject(displaced, citronstream.CodeOverloaded)
	ag.sim.out.LongestQueue = max(ag.sim.out.LongestQueue, ag.queue.Len())
	ag.dispatch()
}

func (ag *agent) reject(items []citronstream.Item, code citronstream.Code) {
	for _, it := range items {
		ag.left(it.Value.(*call))
		ag.answer(it.Value.(*call), citronstream.NewFault(citronstream.NotRun, code, "dropped from the queue"))
	}
}

// left counts a call that has left the queue.
func (ag *agent) left(ca *call) {
	if ca.waits {
		ca.waits = false
		ag.waiting[ca.re.rank]--
	}
}

func (ag *agent) dispatch() {
	for ag.running < ag.tier.Capacity && !ag.silent {
		it, dropped, ok := ag.queue.Pop()
		ag.reject(dropped, citronstream.CodeDeadline)
		if !ok {
			return
		}
		ca := it.Value.(*call)
		ca.began = ag.sim.clk.Now()
		ag.sim.dispatched(ca)
		ag.left(ca)
		ag.running++
		ag.cost += it.Cost
		took := duration(ca.cost * ag.tier.Unit.Seconds() * (0.8 + 0.4*ag.random.Float64()) * ag.sim.slowness(ag.tier.Service))
		ag.sim.after(took, func() {
			if !ca.ended && !ag.silent {
				ag.finish(ca, ca.cost)
				ag.answer(ca, nil)
				ag.dispatch()
			}
		})
	}
}

// finish frees the place of a call that ran for the given cost.
func (ag *agent) finish(ca *call, cost float64) {
	ca.ended = true
	ag.running--
	ag.cost -= ca.it.Cost
	took := ag.sim.clk.Now().Sub(ca.began)
	ag.queue.Done(ca.it, cost, took)
	ag.throughput(cost, took)
	ag.sim.served(ca, cost)
}

// throughput is that of agent/server.
func (ag *agent) throughput(cost float64, took time.Duration) {
	const share = 0.05
	if cost <= 0 || took <= 0 {
		return
	}
	rate := cost / took.Seconds() * float64(ag.tier.Capacity)
	if ag.rate == 0 {
		ag.rate = rate
	}
	ag.rate += share * (rate - ag.rate)
}

// withdraw ends a call that its entry no longer wants. Running calls that
// are not idempotent go on to their end.
func (ag *agent) withdraw(ca *call) {
	if ca.ended || ag.silent || ca.pushed.IsZero() {
		return
	}
	if ca.began.IsZero() {
		ag.queue.Remove(ca.it.ID)
		ag.left(ca)
		ca.ended = true
		return
	}
	if ag.tier.Idempotent {
		ran := ag.sim.clk.Now().Sub(ca.began).Seconds()
		ag.finish(ca, min(ca.cost, ran/ag.tier.Unit.Seconds()))
		ag.dispatch()
	}
}

func (ag *agent) answer(ca *call, err error) {
	ca.ended = true
	lo := ag.load()
	ag.sim.after(ag.sim.delay(ca.en.zone, ag.zone), func() {
		if taker, ok := ca.en.pickers[ag.tier.Service].(ResultTaker); ok {
			taker.TakeResultLoad(lo)
		}
		ca.en.answered(ca, err)
	})
}

// lose makes the upstream silent, and returns the calls that are lost with it
// in the order of their sending.
func (ag *agent) lose() []*call {
	ag.silent = true
	ag.running, ag.cost = 0, 0
	clear(ag.waiting)
	ag.queue = ag.sim.newQueue(ag.tier)
	lost := slices.SortedFunc(maps.Keys(ag.open), func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	for _, ca := range lost {
		ca.ended, ca.waits = true, false
	}
	return lost
}

func (ag *agent) load() citronstream.Load {
	return citronstream.Load{
		Upstream: ag.name, Running: ag.running, Waiting: ag.queue.Len(), Cost: ag.queue.Cost() + ag.cost,
		Ranks: citronstream.CompactRankCosts(ag.queue.RankCosts()), Rate: ag.rate, Capacity: ag.tier.Capacity,
	}
}
