package engines

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/coldrate"
	"github.com/stretchr/testify/assert"
)

// Load pattern: a third of the engines turn cold at once while they run, as a burst of 525
// requests a second begins. The gateways hear of it 1.2 s later, over 0.25 s. Guards against
// more than the rate of a cold engine, 18 requests within any second, before that is known, or
// from then on on top of what came before.
func TestZoneTurnsCold(t *testing.T) {
	const zone, turns, unknown = 15, 6 * time.Second, 1200 * time.Millisecond
	si := simSite{gateways: 25, engines: 46, tell: 200 * time.Millisecond, rate: 525.0 / 2.4 / 93, span: 10 * time.Second, bursts: true}
	spec := func(string) citronstream.ServiceSpec {
		return citronstream.ServiceSpec{ColdStart: 4 * time.Second, ColdRate: 8.9}
	}
	play := func(seed uint64, maxStarts int) (most int, out simOutcome) {
		limiters := make([]*coldrate.Limiter, si.gateways)
		sm := newSim(si, func(_ *sim, gateway int) simRule {
			return func(pi *Picker, nodes []*node.Node, rq *Request) (*node.Node, int) {
				for {
					usable := coldrate.Usable(limiters[gateway], nodes, func(nd *node.Node) string { return nd.ID }, "s", 0, false)
					nd, unread := pi.choose(usable, rq)
					if permit, ok := limiters[gateway].Take(nd.ID); ok {
						permit.Sent()
						return nd, unread
					}
				}
			}
		})
		row := func(gateway, engine int, version uint64, cold time.Duration) {
			limiters[gateway].Row(citronstream.Member{ID: fmt.Sprintf("e%d", engine), Service: "s", Revision: version, StartedMs: 1, Cold: cold})
		}
		var addresses []string
		for gateway := range limiters {
			addresses = append(addresses, fmt.Sprint("g", gateway))
		}
		for gateway := range limiters {
			opts := []coldrate.Option{coldrate.WithBound(1.5, 5)}
			if maxStarts > 0 {
				opts = append(opts, coldrate.WithRecent(sm.pickers[gateway].Starts))
			}
			limiters[gateway] = coldrate.New(sm.clk, addresses[gateway], spec, opts...)
			for engine := range si.engines {
				row(gateway, engine, 1, 0)
			}
			sm.at(2*time.Second, func() { limiters[gateway].Listed(addresses, sm.clk.Now()) })
			sm.at(turns+unknown+time.Duration(gateway)*10*time.Millisecond, func() {
				for engine := range zone {
					row(gateway, engine, 2, 4*time.Second-unknown)
				}
			})
		}
		cold := make(map[string]bool)
		for engine := range zone {
			cold[fmt.Sprintf("e%d", engine)] = true
		}
		times := make(map[string][]time.Duration)
		sm.sends = func(_ int, nd *node.Node) {
			if cold[nd.ID] && sm.now >= turns {
				times[nd.ID] = append(times[nd.ID], sm.now)
			}
		}
		list := simArrivals(si, seed)
		for i := range list {
			list[i].rq.MaxStarts = maxStarts
		}
		out = sm.play(list)
		for _, all := range times {
			first := 0
			for i, at := range all {
				for at-all[first] >= time.Second {
					first++
				}
				most = max(most, i-first+1)
			}
		}
		return most, out
	}
	before, now := 0, 0
	for seed := range uint64(3) {
		most, without := play(seed+1, 0)
		t.Logf("seed %d: %d, %s", seed+1, most, without.String())
		before = max(before, most)
		most, with := play(seed+1, testMaxStarts)
		t.Logf("seed %d: %d, %s", seed+1, most, with.String())
		now = max(now, most)
		assert.LessOrEqual(t, with.late(), without.late())
	}
	assert.Greater(t, before, coldBound)
	assert.LessOrEqual(t, now, coldBound)
}
