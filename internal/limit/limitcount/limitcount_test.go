package limitcount

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
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

// Guards against a log that blocks and holds up all who meet a limit.
func TestCountsWhileALineIsWritten(t *testing.T) {
	var co *Counts
	counted := false
	co = New(clockwork.NewFakeClock(), funcr.New(func(string, string) {
		result := make(chan uint64, 1)
		go func() { result <- co.Count("memory") }()
		select {
		case count := <-result:
			counted = count == 1
		case <-clockwork.NewRealClock().After(10 * time.Second):
		}
	}, funcr.Options{}), "refused")
	co.Hit("memory")
	assert.True(t, counted, "Count waits for the line")
}
