package limitcount

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Guards against a log line for each refused client.
func TestLimitsAreLoggedOnceAMinute(t *testing.T) {
	clk, lines := clockwork.NewFakeClock(), 0
	lc := New(clk, logr.New(lineCounter{&lines}), "refused")
	for range 100 {
		lc.Hit("a")
		lc.Hit("b")
	}
	assert.Equal(t, 2, lines)
	clk.Advance(logInterval)
	lc.Hit("a")
	assert.Equal(t, 3, lines)
	assert.EqualValues(t, 101, lc.Count("a"))
}

// lineCounter counts log lines.
type lineCounter struct{ lines *int }

func (lineCounter) Init(logr.RuntimeInfo)             {}
func (lineCounter) Enabled(int) bool                  { return true }
func (lc lineCounter) Info(int, string, ...any)       { *lc.lines++ }
func (lc lineCounter) Error(error, string, ...any)    { *lc.lines++ }
func (lc lineCounter) WithValues(...any) logr.LogSink { return lc }
func (lc lineCounter) WithName(string) logr.LogSink   { return lc }
