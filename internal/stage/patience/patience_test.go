package patience

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Inputs are kept for the time in which they pass two links, longer after one
// was not found, and shorter again later; never with a link of unknown rate.
func TestPatience(t *testing.T) {
	pa := New()
	assert.Zero(t, pa.Time(1000, 0))
	first := pa.Time(4000000, 1000)
	assert.Equal(t, 64*time.Millisecond+margin, first)
	pa.Learn(true)
	assert.Equal(t, 2*first, pa.Time(4000000, 1000))
	for range 20 {
		pa.Learn(true)
	}
	assert.Equal(t, 64*first, pa.Time(4000000, 1000))
	for range 400 {
		pa.Learn(false)
	}
	assert.Equal(t, first, pa.Time(4000000, 1000))
}
