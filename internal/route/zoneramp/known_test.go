package zoneramp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a gateway whose instance was suspended, which takes an old evacuation for a
// new one, as its clock stood still, and sends to the zone after the time that is allowed.
func TestKnownAfterASuspension(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return start.Add(after) }
	kn := Known{}.Next(at(0), at(0), 0, bound)
	assert.Equal(t, at(0), kn.At(at(time.Second), 0))
	assert.Zero(t, kn.At(at(time.Second), time.Minute), "suspended since the last look")
	kn = kn.Next(at(time.Second), at(time.Second), time.Minute, bound)
	assert.Zero(t, kn.At(at(time.Second), time.Minute))
	kn = kn.Next(at(2*time.Second), at(2*time.Second), time.Minute, bound)
	assert.Zero(t, kn.At(at(time.Second+bound-1), time.Minute))
	assert.Equal(t, at(2*time.Second), kn.At(at(time.Second+bound), time.Minute))
}
