package fetchtime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Inputs are kept for their transfer time over two links, longer after one was
// released too early, and shorter again later. The time is 0 if the link rate is
// unknown.
func TestEstimator(t *testing.T) {
	es := New()
	assert.Zero(t, es.Time(1000, 0))
	first := es.Time(4000000, 1000)
	assert.Equal(t, 64*time.Millisecond+margin, first)
	es.Adjust(true)
	assert.Equal(t, 2*first, es.Time(4000000, 1000))
	for range 20 {
		es.Adjust(true)
	}
	assert.Equal(t, 64*first, es.Time(4000000, 1000))
	for range 400 {
		es.Adjust(false)
	}
	assert.Equal(t, first, es.Time(4000000, 1000))
}
