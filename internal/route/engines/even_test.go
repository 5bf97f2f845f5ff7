package engines

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/stretchr/testify/assert"
)

// simRules are the rules that were compared, see docs/design/even-load.md.
var simRules = []struct {
	name string
	rule func(sm *sim, gateway int) simRule
}{
	{"before", homes(1, 1, 16)},
	{"in force", inForce},
	{"two random", func(*sim, int) simRule { return someRandom(2) }},
	{"three random", func(*sim, int) simRule { return someRandom(3) }},
	{"weights by age", byAge},
	{"allotted shares", allotted},
	{"subset", subset},
	{"load headers", headers},
	{"exact", exact},
	{"1 choice", homes(1, 2, 64)},
	{"2 choices", homes(2, 2, 64)},
	{"4 choices", homes(4, 4, 64)},
	{"8 choices", homes(8, 8, 64)},
	{"a third", homes(3, 2, 16)},
}

func inForce(*sim, int) simRule { return (*Picker).choose }

// candidates returns the cost of each engine by the rule in force.
func candidates(pi *Picker, nodes []*node.Node, rq *Request, home string, known bool) (costs []float64, unread []int) {
	now := pi.clk.Now()
	for _, nd := range nodes {
		left := rq.Tokens
		if known && nd.ID == home {
			left = max(0, left-rq.sharedTokens())
		}
		costs, unread = append(costs, pi.cost(nd, rq, left, home, now)), append(unread, left)
	}
	return costs, unread
}

// least returns the engine with the least cost.
func least(nodes []*node.Node, costs []float64, unread []int) (*node.Node, int) {
	best := 0
	for i, cost := range costs {
		if cost < costs[best] {
			best = i
		}
	}
	return nodes[best], unread[best]
}

// someRandom chooses among the home and some random engines.
func someRandom(count int) simRule {
	draw := rand.New(rand.NewPCG(1, 1))
	return func(pi *Picker, nodes []*node.Node, rq *Request) (*node.Node, int) {
		home, known := pi.homeEngine(nodes, rq, pi.clk.Now())
		costs, unread := candidates(pi, nodes, rq, home, known)
		chosen := make(map[int]bool)
		for range count {
			chosen[draw.IntN(len(nodes))] = true
		}
		for i, nd := range nodes {
			if nd.ID != home && !chosen[i] {
				costs[i] = math.Inf(1)
			}
		}
		return least(nodes, costs, unread)
	}
}

// byAge draws an engine with weights that fall with the cost, less steeply the older
// the loads are.
func byAge(sm *sim, _ int) simRule {
	draw := rand.New(rand.NewPCG(2, 1))
	return func(pi *Picker, nodes []*node.Node, rq *Request) (*node.Node, int) {
		home, known := pi.homeEngine(nodes, rq, pi.clk.Now())
		costs, unread := candidates(pi, nodes, rq, home, known)
		best, width := slices.Min(costs), 2+float64(sm.tell.Milliseconds())/50
		for i := range costs {
			costs[i] = -width*math.Log(1-draw.Float64()) + (costs[i]-best)*1 // exponential race
		}
		return least(nodes, costs, unread)
	}
}

// allotted lets each gateway use an engine up to its share of what is free.
func allotted(sm *sim, _ int) simRule {
	return func(pi *Picker, nodes []*node.Node, rq *Request) (*node.Node, int) {
		home, known := pi.homeEngine(nodes, rq, pi.clk.Now())
		costs, unread := candidates(pi, nodes, rq, home, known)
		for i, nd := range nodes {
			own := 0
			if ld := pi.ownLoads[nd.ID]; ld != nil {
				own = ld.running
			}
			running, _ := pi.totalLoad(nd.ID, pi.clk.Now())
			if share := float64(simSlots-running+own) / float64(sm.gateways); float64(own) >= share {
				costs[i] += 100
			}
		}
		return least(nodes, costs, unread)
	}
}

// subset prefers for each gateway engines of its own, among those that cost little more.
func subset(_ *sim, gateway int) simRule {
	return func(pi *Picker, nodes []*node.Node, rq *Request) (*node.Node, int) {
		home, known := pi.homeEngine(nodes, rq, pi.clk.Now())
		costs, unread := candidates(pi, nodes, rq, home, known)
		for i, nd := range nodes {
			if xxhash.Sum64String(nd.ID+string(rune('a'+gateway)))%4 != 0 && nd.ID != home {
				costs[i] += 3
			}
		}
		return least(nodes, costs, unread)
	}
}

// headers counts the load that an engine reported with its last response to the gateway
// where it is younger than the peers' messages.
func headers(sm *sim, gateway int) simRule {
	return func(pi *Picker, nodes []*node.Node, rq *Request) (*node.Node, int) {
		home, known := pi.homeEngine(nodes, rq, pi.clk.Now())
		costs, unread := candidates(pi, nodes, rq, home, known)
		for i, nd := range nodes {
			re, seen := sm.reports[gateway][i]
			if age := sm.now - re.at; seen && age < sm.tell {
				running, _ := pi.totalLoad(nd.ID, pi.clk.Now())
				costs[i] += float64(re.running-running) * runningDelay
			}
		}
		return least(nodes, costs, unread)
	}
}

// homes places a part that no engine is known to have at the best of some engines by
// hash, and spreads the parts before it over at least and at most some engines. The rule of
// before is homes(1, 1, 16): the hash alone decides, within a third of the engines.
func homes(choices, leastSpread, mostSpread int) func(*sim, int) simRule {
	return func(*sim, int) simRule {
		return func(pi *Picker, nodes []*node.Node, rq *Request) (*node.Node, int) {
			home, some := pi.location(nodes, rq.Shared, pi.clk.Now()), nodes
			known := home != ""
			for i, part := range rq.Shared {
				count := choices
				if i < len(rq.Shared)-1 {
					count = min(max(leastSpread, spreadOf(pi, part.ID, len(nodes))), mostSpread)
				}
				some = topByHash(some, part.ID, count)
			}
			if !known {
				costs, unread := candidates(pi, some, rq, "", false)
				nd, _ := least(some, costs, unread)
				home = nd.ID
			}
			costs, unread := candidates(pi, nodes, rq, home, known)
			return least(nodes, costs, unread)
		}
	}
}

// spreadOf is Picker.spread without its least number of engines.
func spreadOf(pi *Picker, part uint64, engines int) int {
	if pi.shareTokens < minShareTokens {
		return (engines + homeDivisor - 1) / homeDivisor
	}
	count := 1
	for float64(count) < spreadFactor*float64(engines)*pi.shares[part]/pi.shareTokens {
		count *= 2
	}
	return count
}

// exact chooses by the engines as they are, without a message: a request goes where its
// first event comes first, weighed with what it reads.
func exact(sm *sim, _ int) simRule {
	return func(_ *Picker, nodes []*node.Node, rq *Request) (*node.Node, int) {
		costs, unread := make([]float64, len(nodes)), make([]int, len(nodes))
		for i, en := range sm.engines {
			ahead := 0
			for _, jo := range slices.Concat(en.prompts, en.waiting, en.coming) {
				ahead += jo.left()
			}
			unread[i] = rq.Tokens
			for _, part := range rq.Shared {
				if !en.cached[part.ID] {
					break
				}
				unread[i] -= part.Tokens
			}
			costs[i] = (float64(ahead+2*unread[i])/simReadRate + simPerEvent*simStepMore*float64(en.requests())) / en.speed
		}
		return least(nodes, costs, unread)
	}
}

var simSites = []struct {
	name string
	simSite
}{
	{"25 gateways", simSite{gateways: 25, engines: 46, tell: 200 * time.Millisecond, rate: 1, span: 24 * time.Second, bursts: true}},
	{"25 gateways, slow engines", simSite{gateways: 25, engines: 46, tell: 200 * time.Millisecond, rate: 1, span: 24 * time.Second, bursts: true, slow: 4, stalls: true}},
	{"100 gateways", simSite{gateways: 100, engines: 46, tell: 700 * time.Millisecond, rate: 1, span: 24 * time.Second, bursts: true}},
	{"16 gateways, 3 times the rate", simSite{gateways: 16, engines: 46, tell: 100 * time.Millisecond, rate: 3, span: 24 * time.Second, bursts: true, slow: 4}},
	{"25 gateways, 3 s", simSite{gateways: 25, engines: 46, tell: 3 * time.Second, rate: 1, span: 24 * time.Second, bursts: true}},
}

// compare plays arrivals of some seeds with a rule.
func compare(si simSite, seeds uint64, rule func(sm *sim, gateway int) simRule) (out simOutcome) {
	for seed := range seeds {
		out.add(newSim(si, rule).play(simArrivals(si, seed+1)))
	}
	return out
}

// oneGateway is the bound: one gateway that has all requests and hears of each at once.
func oneGateway(si simSite, seeds uint64) (out simOutcome) {
	for seed := range seeds {
		list, one := simArrivals(si, seed+1), si
		one.gateways = 1
		for i := range list {
			list[i].gateway = 0
		}
		out.add(newSim(one, inForce).play(list))
	}
	return out
}

var compareAll = flag.Bool("compare", false, "compare all rules of choosing an engine at all sites, some minutes")

// Prints the figures of docs/design/even-load.md.
func TestCompareRules(t *testing.T) {
	if !*compareAll {
		t.Skip("run with -compare")
	}
	for _, si := range simSites {
		t.Run(si.name, func(t *testing.T) {
			t.Parallel()
			for _, ru := range simRules {
				out := compare(si.simSite, 2, ru.rule)
				t.Logf("%-16s %s", ru.name, out.String())
			}
			out := oneGateway(si.simSite, 2)
			t.Logf("%-16s %s", "one gateway", out.String())
		})
	}
}

// Load pattern: 25 gateways that choose among the same engines with loads 0.2 s old, in
// bursts, a quarter of the engines slow for good and each for moments. Guards against
// parts that pile up at a few engines, as their hashes or the spread of the part before
// them put them there: fewer requests are late and the slowest first events come earlier,
// no more is read or told.
func TestPartsDoNotPileUp(t *testing.T) {
	si := simSites[1].simSite
	si.span = 14 * time.Second
	before, now, bound := compare(si, 2, homes(1, 1, 16)), compare(si, 2, inForce), oneGateway(si, 2)
	t.Logf("before: %s", before.String())
	t.Logf("now: %s", now.String())
	t.Logf("one gateway: %s", bound.String())
	assert.Less(t, now.late(), before.late())
	assert.Less(t, now.p99(), 0.85*before.p99())
	assert.Less(t, now.p99(), 1.3*bound.p99())
	assert.GreaterOrEqual(t, float64(now.inTime), 0.99*float64(bound.inTime))
	assert.Less(t, now.evenness(), 0.9*before.evenness())
	assert.Less(t, now.waits, 0.5*before.waits)
	assert.Less(t, float64(now.reread), 1.1*float64(before.reread))
	assert.LessOrEqual(t, float64(now.messages), 1.02*float64(before.messages))
	assert.LessOrEqual(t, float64(now.bytes), 1.02*float64(before.bytes))
}
