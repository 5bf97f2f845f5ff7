package lines

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blocked is a reader that has stopped, such as a full pipe.
type blocked struct{ free chan struct{} }

func (bl *blocked) Write(data []byte) (int, error) {
	<-bl.free
	return len(data), nil
}

// A reader that has stopped must not stop the process, and what it costs is counted.
func TestNeverBlocks(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	clk := clockwork.NewFakeClock()
	out := &blocked{free: make(chan struct{})}
	wr := New(ctx, clk, out)
	log := wr.Logger()
	for range waiting/perKind + 2 {
		for range perKind {
			log.Info("a line")
		}
		clk.Advance(time.Second)
	}
	assert.NotZero(t, wr.Lost())
	close(out.free)
	cancel()
	<-wr.Done()
}

// One kind of line that floods leaves room for the others.
func TestRateOfAKind(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var out bytes.Buffer
	wr := New(ctx, clockwork.NewFakeClock(), &out)
	log := wr.Logger("process", "p")
	for range perKind + 50 {
		log.Info("flood")
	}
	log.WithValues("more", 1).Info("other", "request", "r")
	cancel()
	<-wr.Done()
	assert.Equal(t, uint64(50), wr.Lost())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, perKind+1)
	var last map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[perKind]), &last))
	assert.Equal(t, []any{"other", "p", "r"}, []any{last["msg"], last["process"], last["request"]})
}
