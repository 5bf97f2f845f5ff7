package connshare

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

// Guards against gateways that together use more connections than the upstreams accept, and
// against one that has none to any upstream.
func TestSharesAddUp(t *testing.T) {
	upstreams := names(3)
	for _, count := range []int{1, 2, 25, 27, 50, 71, 100, 300} {
		all := names(count)
		sums := make(map[string]int)
		for _, self := range all {
			own := 0
			for upstream, limit := range Limits(71, upstreams, self, all) {
				sums[upstream] += limit
				own += limit
			}
			assert.Positive(t, own, "%s of %d", self, count)
		}
		if count <= 100 {
			for upstream, sum := range sums {
				assert.LessOrEqual(t, sum, 71, "%s, %d gateways", upstream, count)
			}
		}
	}
}

// Guards against connections that are used twice when the number of gateways doubles at once,
// as old and new ones know different ones: the new ones know all.
func TestGatewaysDouble(t *testing.T) {
	all, old := names(50), names(25)
	for _, upstream := range names(3) {
		sum := 0
		for i, self := range all {
			live := all
			if i < 20 { // the others of the old ones have heard of the new ones
				live = old
			}
			sum += Limits(71, names(3), self, live)[upstream]
		}
		assert.LessOrEqual(t, sum, 71)
	}
}

// Guards against a loaded upstream that gets more than the share, and against an idle one that
// does not while few gateways have work.
func TestMoreThanTheShare(t *testing.T) {
	use := Use{Limit: 2, Most: 71, Busy: 2}
	assert.False(t, use.Free(), "load unknown")
	use.Load = citronstream.ServerLoad{Slots: 6, Running: 6, Waiting: 2}
	assert.True(t, use.Free())
	use.Age = time.Second
	assert.False(t, use.Free(), "old load")
	use.Age, use.Load.Waiting = 0, 6
	assert.False(t, use.Free(), "loaded")
	use.Load = citronstream.ServerLoad{Slots: 1 << 40}
	use.Busy = 17
	assert.False(t, use.Free(), "an absurd load")
	use.Busy = 1
	assert.True(t, use.Free(), "within the share")
}

// Guards against a wait that is computed without any connection.
func TestWait(t *testing.T) {
	assert.Equal(t, 30*time.Millisecond, Wait(0, 0, 30*time.Millisecond))
	assert.Equal(t, 30*time.Millisecond, Wait(5, 6, 30*time.Millisecond))
}
