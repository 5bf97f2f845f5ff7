package selfreport

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var now = time.Unix(1000, 0)

// Guards against work for a process that has said that it leaves, and against a refusal of
// work to the one that follows it.
func TestLeaving(t *testing.T) {
	re := New()
	assert.False(t, re.Leaving("i", 5))
	assert.True(t, re.Leaves("i", 5, now))
	assert.False(t, re.Leaves("i", 5, now), "no news")
	assert.True(t, re.Leaving("i", 5))
	assert.False(t, re.Leaving("j", 5))
	assert.False(t, re.Started("i", 5), "its row says ready")
	assert.True(t, re.Leaving("i", 4), "an older row of it")
	assert.True(t, re.Started("i", 6))
	assert.False(t, re.Leaving("i", 6))
	assert.Zero(t, re.Len())
}

// Guards against a record that grows without bound.
func TestBound(t *testing.T) {
	re := New()
	for i := range maxUpstreams + 10 {
		re.Leaves(fmt.Sprint(i), 1, now.Add(time.Duration(i)))
	}
	assert.Equal(t, maxUpstreams, re.Len())
	assert.False(t, re.Leaving("9", 1))
	assert.True(t, re.Leaving("10", 1))
}
