package leastrequest

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/stretchr/testify/assert"
)

// Load pattern: many gateways before few upstreams with few slots and a short queue,
// bursts in groups of three; one upstream may be slow. Upstreams refuse with a full queue.
const (
	plainGateways = 25
	plainSlots    = 6
	plainQueue    = 24
	plainSpan     = 60 * time.Second
	plainTarget   = time.Second
)

// plainSite is the setting of a replay.
type plainSite struct {
	zones   []string // of the upstreams
	rate    float64  // requests a second
	service time.Duration
	slow    float64 // times the service time at the last upstream
}

// plainOutcome is what became of the requests.
type plainOutcome struct {
	all, inTime, refused, crossed int
	wait                          time.Duration // mean in queues
	p99                           time.Duration
	ratio                         float64 // busiest to mean
}

func (po plainOutcome) String() string {
	return fmt.Sprintf("in time %d of %d, refused %d, in another zone %d, mean wait %v, p99 %v, busiest/mean %.2f", po.inTime, po.all, po.refused, po.crossed,
		po.wait.Round(time.Millisecond), po.p99.Round(time.Millisecond), po.ratio)
}

// plainRule chooses an upstream. Free has the times at which they have a free slot.
type plainRule func(nodes []*node.Node, zone string, now time.Time, free []time.Duration) *node.Node

func inForce(nodes []*node.Node, zone string, now time.Time, _ []time.Duration) *node.Node {
	return Pick(nodes, zone, nil, now)
}

// exact knows which upstream has a free slot first.
func exact(nodes []*node.Node, _ string, _ time.Time, free []time.Duration) *node.Node {
	return nodes[slices.Index(free, slices.Min(free))]
}

// variant is the rule in force with another weight of the zone, over some random upstreams.
func variant(cross float64, choices int) plainRule {
	return func(nodes []*node.Node, zone string, _ time.Time, _ []time.Duration) *node.Node {
		var best *node.Node
		least := 0.0
		for _, i := range rand.Perm(len(nodes))[:min(choices, len(nodes))] {
			nd := nodes[i]
			cost := float64(nd.Running()) / float64(nd.Slots)
			if nd.Zone != zone {
				cost += cross
			}
			cost = (cost+0.1)*max(1, nd.Slowness()) + failurePenalty*nd.FailureRate()
			if best == nil || cost < least {
				best, least = nd, cost
			}
		}
		return best
	}
}

// plainEnd is the end of a request at an upstream.

type plainEnd struct {
	at      time.Duration
	nd      *node.Node
	took    time.Duration
	refused bool
}

// replayPlain plays arrivals: each upstream serves in order with its slots.
func replayPlain(ps plainSite, seed uint64, rule plainRule) (out plainOutcome) {
	draw, served, names := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1)), []string{"a", "b", "c"}
	nodes, slots := make([][]*node.Node, plainGateways), make([][]time.Duration, len(ps.zones))
	for g := range nodes {
		for i, zone := range ps.zones {
			nodes[g] = append(nodes[g], node.New(citronstream.Member{ID: fmt.Sprint(i), Zone: zone, Slots: plainSlots}))
		}
	}
	for i := range slots {
		slots[i] = make([]time.Duration, plainSlots)
	}
	var ends []plainEnd
	var took []time.Duration
	queued, work := make([][]time.Duration, len(ps.zones)), make([]float64, len(ps.zones))
	for at := time.Duration(0); at < plainSpan; {
		rate := ps.rate / 3
		if at%(20*time.Second) > 14*time.Second {
			rate *= 2.4
		}
		at += time.Duration(draw.ExpFloat64() / rate * float64(time.Second))
		for len(ends) > 0 && ends[0].at <= at {
			if ends[0].nd.End(); !ends[0].refused {
				ends[0].nd.RequestDone(float64(ends[0].took) / float64(ps.service))
			} else {
				ends[0].nd.RequestFailed()
			}
			ends = ends[1:]
		}
		for range 3 {
			g := draw.IntN(plainGateways)
			free := make([]time.Duration, len(slots))
			for i := range slots {
				free[i] = max(at, slices.Min(slots[i]))
			}
			nd := rule(nodes[g], names[g%3], time.Unix(0, int64(at)), free)
			i := slices.Index(nodes[g], nd)
			nd.Begin()
			out.all++
			if nd.Zone != names[g%3] {
				out.crossed++
			}
			queued[i] = slices.DeleteFunc(queued[i], func(start time.Duration) bool { return start <= at })
			en := plainEnd{at: at + 2*time.Millisecond, nd: nd, refused: len(queued[i]) >= plainQueue}
			if !en.refused {
				slot, start := slices.Index(slots[i], slices.Min(slots[i])), free[i]
				service := time.Duration((0.5 + served.Float64()) * float64(ps.service))
				if i == len(slots)-1 {
					service = time.Duration(float64(service) * cmp.Or(ps.slow, 1))
				}
				slots[i][slot], en.at, en.took = start+service, start+service, start+service-at
				queued[i], work[i] = append(queued[i], start), work[i]+float64(service)
				out.wait += start - at
				if took = append(took, en.took); en.took <= plainTarget {
					out.inTime++
				}
			} else {
				out.refused++
			}
			ends = append(ends, en)
			slices.SortFunc(ends, func(a, b plainEnd) int { return cmp.Compare(a.at, b.at) })
		}
	}
	sum := 0.0
	for _, wo := range work {
		sum += wo
	}
	slices.Sort(took)
	out.wait /= time.Duration(len(took))
	out.p99, out.ratio = took[len(took)*99/100], slices.Max(work)/sum*float64(len(work))
	return out
}

func add(sum *plainOutcome, out plainOutcome) {
	sum.all += out.all
	sum.inTime += out.inTime
	sum.refused += out.refused
	sum.crossed += out.crossed
	sum.wait += out.wait / plainSeeds
	sum.p99 = max(sum.p99, out.p99)
	sum.ratio += out.ratio / plainSeeds
}

const plainSeeds = 4

// Guards against upstreams that stay idle while others queue, as each gateway knows its
// own requests only and prefers its zone. Other weights of the zone and random choices
// were no better, see docs/design/even-load.md.
func TestFewSlots(t *testing.T) {
	for name, ps := range map[string]plainSite{
		"four upstreams":          {zones: []string{"a", "b", "c", "a"}, rate: 40, service: 250 * time.Millisecond},
		"three, one of them slow": {zones: []string{"a", "b", "c"}, rate: 24, service: 250 * time.Millisecond, slow: 1.8},
		"two zones have them":     {zones: []string{"a", "a", "b"}, rate: 30, service: 250 * time.Millisecond},
		"overload":                {zones: []string{"a", "b", "c", "a"}, rate: 55, service: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			sums := make(map[string]*plainOutcome)
			for rule, choose := range map[string]plainRule{
				"in force": inForce, "exact": exact, "two random": variant(crossZonePenalty, 2),
				"half the zone": variant(crossZonePenalty/2, 9), "no zone": variant(0, 9), "twice the zone": variant(2*crossZonePenalty, 9),
			} {
				sums[rule] = &plainOutcome{}
				for seed := range uint64(plainSeeds) {
					add(sums[rule], replayPlain(ps, seed, choose))
				}
				t.Logf("%-14s %v", rule, *sums[rule])
			}
			now, bound := sums["in force"], sums["exact"]
			assert.GreaterOrEqual(t, float64(now.inTime), 0.95*float64(bound.inTime))
			assert.Less(t, now.ratio, 1.2)
		})
	}
}
