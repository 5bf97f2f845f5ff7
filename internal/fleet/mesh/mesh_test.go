package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Load pattern: hundreds of entries that each have two links to each other one. The
// pings of an entry stay below 40 a second up to 120 peers, and a silent peer is
// noticed within the time that its site allows.
func TestPingsOfALargeFleet(t *testing.T) {
	for peers, most := range map[int]time.Duration{4: time.Second, 40: time.Second, 120: 3 * time.Second, 400: 3 * time.Second} {
		after := idlePing(peers)
		assert.LessOrEqual(t, after, most)
		assert.GreaterOrEqual(t, after, minIdlePing)
		if peers <= 120 {
			assert.LessOrEqual(t, float64(peers)/after.Seconds(), 40.0)
		}
	}
}
