package firstattempt

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Guards against a retry, at any entry, whose waiting time counts from the retry
// and not from the first attempt.
func TestFirstAttempt(t *testing.T) {
	clk := clockwork.NewFakeClock()
	here, there := New(clk), New(clk)
	first := clk.Now()
	here.RecordRefusal(7, first)
	clk.Advance(time.Second)
	there.Merge(here.TakeUnsent())
	for _, re := range []*Registry{here, there} {
		assert.WithinDuration(t, first, re.First(7, clk.Now()), time.Second)
		assert.Equal(t, clk.Now(), re.First(8, clk.Now()))
	}
	assert.Empty(t, here.TakeUnsent(), "a refusal is sent once")
	here.RecordRefusal(7, first)
	assert.Empty(t, here.TakeUnsent(), "a second refusal is not sent")
	clk.Advance(retention)
	assert.Equal(t, clk.Now(), here.First(7, clk.Now()), "another request with the same content")
	here.Forget(7)
}

func TestBound(t *testing.T) {
	re := New(clockwork.NewFakeClock())
	for id := range uint64(maxEntries + 10) {
		re.RecordRefusal(id, re.clk.Now())
	}
	assert.Len(t, re.byDigest, maxEntries)
	assert.Len(t, re.TakeUnsent(), maxUnsent)
}
