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
	check := func(re *Registry, digest uint64, want time.Time, asTold bool) {
		t.Helper()
		got, told := re.First(digest, clk.Now())
		assert.Equal(t, want, got)
		assert.Equal(t, asTold, told)
	}
	here.RecordRefusal(7, first, first.Add(2*time.Second))
	clk.Advance(time.Second)
	there.Merge(here.TakeUnsent())
	for _, re := range []*Registry{here, there} {
		check(re, 7, first, false)
		check(re, 8, clk.Now(), false)
	}
	assert.Empty(t, here.TakeUnsent(), "a refusal is sent once")
	clk.Advance(time.Second)
	for _, re := range []*Registry{here, there} {
		check(re, 7, first, true)
	}
	here.RecordRefusal(7, clk.Now(), clk.Now().Add(time.Second))
	check(here, 7, first, false)
	assert.Empty(t, here.TakeUnsent(), "a second refusal is not sent")
	clk.Advance(retention)
	check(here, 7, clk.Now(), false) // another request with the same content
	here.Forget(7)
}

func TestBound(t *testing.T) {
	re := New(clockwork.NewFakeClock())
	for id := range uint64(maxEntries + 10) {
		re.RecordRefusal(id, re.clk.Now(), re.clk.Now())
	}
	assert.Len(t, re.byDigest, maxEntries)
	assert.Len(t, re.TakeUnsent(), maxUnsent)
}
