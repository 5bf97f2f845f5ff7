package coldrate

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	mostPerSecond = 18 // testRate x testOverage + testSlack
	// Each gateway may not know mayMiss of the others, mayMissFew in fleets of at most few.
	mayMiss    = mostPerSecond - 8
	mayMissFew = 7
	few        = mostPerSecond
	step       = 5 * time.Millisecond
)

// fleet is some gateways and an upstream that is cold.
type fleet struct {
	clk      *clockwork.FakeClock
	rnd      *rand.Rand
	gateways []*Limiter
	arrivals []time.Time
}

func newFleet(gateways int, seed uint64) *fleet {
	fl := &fleet{clk: clockwork.NewFakeClock(), rnd: rand.New(rand.NewPCG(seed, 0))}
	for number := range gateways {
		li := newLimiter(fl.clk, number)
		li.Row(row(1, 1, time.Hour))
		fl.gateways = append(fl.gateways, li)
	}
	return fl
}

// run lets all gateways send whenever they may. A request arrives up to jitter later.
func (fl *fleet) run(period time.Duration) {
	for range period / step {
		fl.clk.Advance(step)
		for _, li := range fl.gateways {
			if pe, ok := li.Take("u"); ok {
				pe.Sent()
				fl.arrivals = append(fl.arrivals, fl.clk.Now().Add(time.Duration(fl.rnd.Int64N(int64(jitter)))))
			}
		}
	}
}

// most returns the most arrivals within any second.
func (fl *fleet) most() (most int) {
	slices.SortFunc(fl.arrivals, time.Time.Compare)
	first := 0
	for i, at := range fl.arrivals {
		for at.Sub(fl.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// mayMiss returns how many others a gateway may not know.
func (fl *fleet) mayMiss() int {
	if len(fl.gateways) <= few {
		return min(mayMissFew, len(fl.gateways)-1)
	}
	return mayMiss
}

// others returns the addresses of the gateways except one, the ones that come first for
// the upstream first.
func (fl *fleet) others(than int) (addresses []string) {
	for number := range fl.gateways {
		if number != than {
			addresses = append(addresses, address(number))
		}
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(score("u", b), score("u", a)) })
	return addresses
}

// Guards against more requests than a cold upstream tolerates from gateways whose views of
// each other differ: each knows some of the others, which can't be reached, and some learn
// of others meanwhile.
func TestBoundWithDifferingViews(t *testing.T) {
	views := map[string]func(fl *fleet, others []string) []string{
		"equal": func(_ *fleet, others []string) []string { return others },
		"random": func(fl *fleet, others []string) []string {
			fl.rnd.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			return others[fl.rnd.IntN(fl.mayMiss()+1):]
		},
		"without those that come first": func(fl *fleet, others []string) []string { return others[fl.mayMiss():] },
	}
	for name, view := range views {
		for _, size := range []int{1, 2, 3, 7, 8, 12, 19, 25, 100} {
			t.Run(fmt.Sprintf("%s of %d", name, size), func(t *testing.T) {
				for seed := range uint64(10) {
					fl := newFleet(size, seed)
					fl.clk.Advance(settleTime)
					for number, li := range fl.gateways {
						li.Listed(view(fl, fl.others(number)), fl.clk.Now())
					}
					fl.run(2 * time.Second)
					for number, li := range fl.gateways {
						if fl.rnd.IntN(2) == 0 {
							li.Gateways(fl.others(number))
						}
					}
					fl.run(2 * time.Second)
					require.LessOrEqual(t, fl.most(), mostPerSecond, "seed %d", seed)
					require.NotEmpty(t, fl.arrivals)
				}
			})
		}
	}
}

// Guards against gateways that start at once, know nobody and all send.
func TestBoundAtTheStart(t *testing.T) {
	fl := newFleet(25, 1)
	fl.run(time.Second)
	for _, li := range fl.gateways {
		li.Listed(nil, fl.clk.Now()) // the others have not written their rows yet
	}
	fl.run(3 * time.Second)
	assert.Empty(t, fl.arrivals)
	for number, li := range fl.gateways {
		li.Listed(fl.others(number), fl.clk.Now())
	}
	fl.run(4 * time.Second)
	assert.LessOrEqual(t, fl.most(), mostPerSecond)
	assert.Equal(t, 8, fl.most())
}

// Guards against a gateway that is cut off from the store and all others and takes shares
// of those that it has forgotten.
func TestCutOff(t *testing.T) {
	fl := newFleet(25, 1)
	fl.clk.Advance(settleTime)
	for number, li := range fl.gateways {
		li.Listed(fl.others(number), fl.clk.Now())
	}
	for range 15 {
		fl.run(step)
		fl.clk.Advance(time.Minute)
		for _, li := range fl.gateways {
			li.Sweep(listed)
		}
		fl.run(2 * time.Second)
	}
	assert.LessOrEqual(t, fl.most(), 8)
}

// Guards against a cold upstream that gets nothing, as one of its senders has died: the
// others go on, and another gateway takes its place once it is forgotten.
func TestSenderDies(t *testing.T) {
	fl := newFleet(25, 1)
	fl.clk.Advance(settleTime)
	list := func() {
		for number, li := range fl.gateways {
			li.Listed(fl.others(number), fl.clk.Now())
		}
	}
	list()
	sender := slices.IndexFunc(fl.gateways, func(li *Limiter) bool { return li.Free("u") })
	fl.gateways = slices.Delete(fl.gateways, sender, sender+1)
	fl.run(2 * time.Second)
	assert.Equal(t, 7, fl.most())
	fl.arrivals = nil
	for range 11 {
		fl.clk.Advance(time.Minute)
		for _, li := range fl.gateways {
			live := make([]string, 0, len(fl.gateways))
			for _, other := range fl.gateways {
				live = append(live, other.self)
			}
			li.Listed(live, fl.clk.Now())
			li.Sweep(listed)
		}
	}
	fl.run(2 * time.Second)
	assert.Equal(t, 8, fl.most())
}

// Guards against a service without service while all of its upstreams are cold.
func TestAllUpstreamsCold(t *testing.T) {
	const upstreams, gateways = 46, 25
	clk := clockwork.NewFakeClock()
	fl := &fleet{clk: clk, rnd: rand.New(rand.NewPCG(1, 0))}
	for number := range gateways {
		fl.gateways = append(fl.gateways, newLimiter(clk, number))
	}
	clk.Advance(settleTime)
	least := upstreams
	for number, li := range fl.gateways {
		li.Listed(fl.others(number), clk.Now())
		free := 0
		for id := range upstreams {
			mb := row(1, 1, time.Hour)
			mb.ID = fmt.Sprint("u", id)
			li.Row(mb)
			if li.Free(mb.ID) {
				free++
			}
		}
		least = min(least, free)
	}
	assert.GreaterOrEqual(t, least, 7, "175 requests a second are 7 for each gateway")
}

// Guards against a rate below one a second that is exceeded by its rounding.
func TestSlowRate(t *testing.T) {
	clk := clockwork.NewFakeClock()
	li := New(clk, address(0), func(string) citronstream.ServiceSpec {
		return citronstream.ServiceSpec{ColdStart: time.Minute, ColdRate: 0.5}
	})
	li.Row(row(1, 1, time.Hour))
	settle(clk, li)
	assert.Equal(t, share{count: 1, window: 2*time.Second + jitter}, li.share("u", li.upstreams["u"], 0.5, clk.Now()))
}

// Guards against a second in which an upstream gets what gateways sent before they knew that
// it is cold, 14 requests at most, and the requests of all senders as well.
func TestBoundWhenAnUpstreamTurnsCold(t *testing.T) {
	for before, held := range map[int]bool{14: true, 10: false} {
		t.Run(fmt.Sprintf("%d requests before", before), func(t *testing.T) {
			fl := &fleet{clk: clockwork.NewFakeClock(), rnd: rand.New(rand.NewPCG(1, 0))}
			for number := range 25 {
				li := newLimiter(fl.clk, number, WithRecent(func(string) int { return before }))
				li.Row(row(1, 1, 0))
				fl.gateways = append(fl.gateways, li)
			}
			fl.clk.Advance(settleTime)
			for number, li := range fl.gateways {
				li.Listed(fl.others(number), fl.clk.Now())
			}
			for range before {
				fl.arrivals = append(fl.arrivals, fl.clk.Now())
			}
			free := 0
			for _, li := range fl.gateways {
				li.Row(row(2, 1, time.Hour))
				if li.Free("u") {
					free++
				}
				assert.LessOrEqual(t, li.Next([]string{"u"}, 0), time.Hour)
			}
			assert.Equal(t, held, free == 0)
			fl.run(3 * time.Second)
			assert.LessOrEqual(t, fl.most(), mostPerSecond)
			assert.GreaterOrEqual(t, len(fl.arrivals), before+8)
		})
	}
}

// Guards against a gateway that is cut off from the store and all others, keeps its shares,
// and sends beside the gateways that have taken its place.
func TestOneGatewayCutOff(t *testing.T) {
	fl := newFleet(25, 1)
	fl.clk.Advance(settleTime)
	var all []string
	for _, li := range fl.gateways {
		all = append(all, li.self)
	}
	for number, li := range fl.gateways {
		li.Listed(fl.others(number), fl.clk.Now())
		li.Linked(all)
	}
	cutOff := slices.IndexFunc(fl.gateways, func(li *Limiter) bool { return li.Free("u") })
	fl.gateways[cutOff].Linked(nil)
	rest := slices.Delete(slices.Clone(all), cutOff, cutOff+1)
	for at := range 13 {
		fl.run(2 * time.Second)
		assert.LessOrEqual(t, fl.most(), 8, "minute %d", at)
		fl.arrivals = nil
		fl.clk.Advance(time.Minute)
		for number, li := range fl.gateways {
			if number != cutOff {
				li.Listed(rest, fl.clk.Now())
				li.Linked(rest)
			}
			li.Sweep(listed)
		}
		assert.NotEmpty(t, fl.gateways[cutOff].Incomplete(), "it goes on without news")
	}
	assert.False(t, fl.gateways[cutOff].Free("u"))
	fl.run(2 * time.Second)
	assert.Equal(t, 8, fl.most(), "another gateway has taken its place")
}
