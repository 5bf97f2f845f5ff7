package attempts_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/attempts"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// TestForget guards against ended attempts that stay in the memory of an agent
// without calls, and against one that is dropped while a late message may name it.
func TestForget(t *testing.T) {
	const keptFor = time.Minute // design, section 17
	clk := clockwork.NewFakeClock()
	ta := attempts.New(clk)
	for i := range 3 {
		att, ok := ta.Add(citronstream.Call{AttemptID: fmt.Sprint(i)})
		assert.True(t, ok)
		if i > 0 {
			ta.Ended(att)
		}
		clk.Advance(time.Second)
	}
	clk.Advance(keptFor - 3*time.Second)
	ta.Forget()
	assert.Equal(t, 3, ta.Len())
	clk.Advance(time.Second) // the first ended a minute ago
	ta.Forget()
	assert.Equal(t, 2, ta.Len())
	clk.Advance(keptFor)
	ta.Forget()
	assert.Equal(t, 1, ta.Len(), "a running attempt is never dropped")
	assert.Len(t, ta.Live(), 1)
}
