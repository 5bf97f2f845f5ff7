package coldrate

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// addresses returns some addresses, without that of the gateway 0.
func addresses(from, to int) (list []string) {
	for number := from; number < to; number++ {
		list = append(list, address(number))
	}
	return list
}

// Guards against a gateway that sends to cold upstreams although what it hears shows that its
// list of gateways lacks some, and against one that stops for a few that are new.
func TestIncompleteList(t *testing.T) {
	newListed := func(count int) (*clockwork.FakeClock, *Limiter) {
		clk := clockwork.NewFakeClock()
		li := newLimiter(clk, 0)
		li.Row(row(1, 1, time.Hour))
		settle(clk, li, addresses(1, count)...)
		li.Linked(addresses(1, count))
		li.Sweep(listed)
		assert.Empty(t, li.Incomplete())
		return clk, li
	}
	for name, fleet := range map[string]struct{ size, tolerated int }{"25 gateways": {25, 5}, "few gateways": {6, 3}} {
		t.Run(name, func(t *testing.T) {
			t.Run("newer ones are linked", func(t *testing.T) {
				clk, li := newListed(fleet.size)
				li.Linked(addresses(1, fleet.size+fleet.tolerated))
				li.Sweep(listed)
				assert.Empty(t, li.Incomplete())
				li.Linked(addresses(1, fleet.size+fleet.tolerated+1))
				li.Sweep(listed)
				assert.Equal(t, ReasonNewer, li.Incomplete())
				assert.False(t, li.Settled())
				assert.False(t, li.Free("u"))
				assert.True(t, li.MayList())
				li.Listed(addresses(1, fleet.size+fleet.tolerated+1), clk.Now())
				assert.Empty(t, li.Incomplete())
			})
			t.Run("a peer knows more", func(t *testing.T) {
				clk, li := newListed(fleet.size)
				li.PeerKnows("peer", fleet.size+fleet.tolerated)
				li.Sweep(listed)
				assert.Empty(t, li.Incomplete())
				li.PeerKnows("peer", fleet.size+fleet.tolerated+1)
				li.Sweep(listed)
				assert.Equal(t, ReasonPeer, li.Incomplete())
				clk.Advance(peerCountTTL + 1)
				li.Sweep(listed)
				assert.Empty(t, li.Incomplete(), "it was told long ago")
			})
			t.Run("most are not linked", func(t *testing.T) {
				clk, li := newListed(fleet.size)
				li.Linked(nil)
				clk.Advance(cutOffTTL - 1)
				li.Sweep(listed)
				assert.Empty(t, li.Incomplete(), "the list is new")
				clk.Advance(1)
				assert.Equal(t, ReasonCutOff, li.Incomplete())
				li.Listed(addresses(1, fleet.size), clk.Now())
				assert.Empty(t, li.Incomplete())
			})
		})
	}
	t.Run("the links hold while the store is away", func(t *testing.T) {
		clk, li := newListed(25)
		clk.Advance(listTTL - 1)
		li.Sweep(listed)
		assert.Empty(t, li.Incomplete())
		clk.Advance(1)
		assert.Equal(t, ReasonNotRead, li.Incomplete())
	})
	t.Run("gateways that are gone", func(t *testing.T) {
		clk, li := newListed(25)
		li.PeerKnows("peer", 25) // it has not noticed yet
		li.Listed(addresses(1, 12), clk.Now())
		li.Linked(addresses(1, 12))
		li.Sweep(listed)
		assert.Empty(t, li.Incomplete())
		assert.Equal(t, 12, li.Known())
	})
	t.Run("a peer whose list is old", func(t *testing.T) {
		clk, li := newListed(25)
		li.Linked(addresses(1, 12))
		clk.Advance(listTTL - 1)
		assert.Equal(t, 25, li.Known())
		clk.Advance(1)
		assert.Equal(t, 12, li.Known(), "what its list says has passed")
	})
	t.Run("absurd numbers", func(t *testing.T) {
		_, li := newListed(25)
		li.PeerKnows("peer", 1<<40)
		li.PeerKnows("peer", -1)
		for i := range 2 * maxGateways {
			li.PeerKnows(fmt.Sprint(i), 25)
		}
		li.Sweep(listed)
		assert.Empty(t, li.Incomplete())
		assert.Len(t, li.peerCounts, maxGateways)
	})
}

// Load pattern: three groups of ten gateways start one after the other, and each knows its
// own group and those before it, so that members of the first group miss 20 and those of the
// second 10. The gateways of each group come first for the cold upstream by the hashing, the
// worst case. Each gateway is linked with its group and with one gateway of the next one.
// Guards against a bound that does not hold when gateways miss more of the others than it
// assumes (24 requests within a second, of 18), although what they hear shows it.
func TestThreeViews(t *testing.T) {
	const groups, size = 3, 10
	for _, tells := range []bool{false, true} {
		t.Run(fmt.Sprintf("peers tell: %t", tells), func(t *testing.T) {
			fl := newFleet(groups*size, 1)
			slices.SortFunc(fl.gateways, func(a, b *Limiter) int { return cmp.Compare(score("u", a.self), score("u", b.self)) })
			all := make([]string, 0, len(fl.gateways))
			for _, li := range fl.gateways {
				all = append(all, li.self)
			}
			fl.clk.Advance(settleTime)
			for at, li := range fl.gateways {
				group := at / size
				li.Listed(all[:(group+1)*size], fl.clk.Now())
				linked := slices.Clone(all[group*size : (group+1)*size])
				if next := at + size; next < len(all) {
					linked = append(linked, all[next])
				}
				li.Gateways(linked)
				li.Linked(linked)
			}
			for at, li := range fl.gateways {
				if next := at + size; tells && next < len(all) {
					li.PeerKnows(all[next], fl.gateways[next].Known())
				}
				li.Sweep(listed)
			}
			fl.run(3 * time.Second)
			if tells {
				assert.LessOrEqual(t, fl.most(), mostPerSecond)
				assert.NotEmpty(t, fl.arrivals)
			} else {
				assert.Greater(t, fl.most(), mostPerSecond)
			}
		})
	}
}

// Guards against a service of which no gateway may be missing from the list, and which is
// overruled by another one that tolerates more, by the order of a map.
func TestLeastToleranceCounts(t *testing.T) {
	rates := map[string]float64{"s": 8.9, "slow": 1}
	for range 50 {
		clk := clockwork.NewFakeClock()
		spec := func(service string) citronstream.ServiceSpec {
			return citronstream.ServiceSpec{ColdStart: time.Minute, ColdRate: rates[service]}
		}
		li := New(clk, address(0), spec, WithBound(testOverage, testSlack))
		li.Row(row(1, 1, time.Hour))
		slow := row(2, 1, time.Hour)
		slow.ID, slow.Service = "v", "slow"
		li.Row(slow)
		settle(clk, li, addresses(1, 3)...)
		li.Linked(addresses(1, 4))
		li.Sweep(listed)
		assert.Equal(t, ReasonNewer, li.Incomplete())
	}
}
