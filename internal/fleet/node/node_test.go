package node

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Guards against a pace that is combined with the moving average that has it already, and
// against one that counts for longer than the upstream keeps it.
func TestSlowness(t *testing.T) {
	clk := clockwork.NewFakeClock()
	nd := New(citronstream.Member{}, WithClock(clk))
	assert.Equal(t, 1.0, nd.Slowness())
	nd.RequestDone(1.5)
	assert.Equal(t, 1.5, nd.Slowness())
	nd.ObserveLoad(citronstream.ServerLoad{Slots: 1, Pace: 3}, clk.Now())
	assert.Equal(t, 3.0, nd.Slowness())
	assert.Equal(t, 1.0, nd.Speed())
	clk.Advance(10 * time.Second)
	assert.Equal(t, 1.5, nd.Slowness())
}

// Guards against transient slowness that is taken for the long-term speed.
func TestSpeed(t *testing.T) {
	clk := clockwork.NewFakeClock()
	nd := New(citronstream.Member{}, WithClock(clk))
	for range 40 {
		nd.ObserveTime(2, clk.Now())
	}
	assert.InDelta(t, 0.5, nd.Speed(), 0.02)
	nd.ObserveLoad(citronstream.ServerLoad{Slots: 1, Pace: 3}, clk.Now())
	assert.InDelta(t, 0.5, nd.Speed(), 0.02)
	assert.InDelta(t, 3/nd.Speed(), nd.Slowness(), 1e-9)
}
