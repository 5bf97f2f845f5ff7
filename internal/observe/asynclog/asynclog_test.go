package asynclog

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

// blocked is an output whose reader has stopped, such as a full pipe.
type blocked struct{ unblock chan struct{} }

func (bl *blocked) Write(data []byte) (int, error) {
	<-bl.unblock
	return len(data), nil
}

// Guards against a log output that blocks the process, and against dropped
// lines that aren't counted.
func TestNeverBlocks(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	clk := clockwork.NewFakeClock()
	out := &blocked{unblock: make(chan struct{})}
	wr := New(ctx, clk, out)
	log := wr.Logger()
	for range queueSize/maxPerSecond + 2 {
		for range maxPerSecond {
			log.Info("a line")
		}
		clk.Advance(time.Second)
	}
	assert.NotZero(t, wr.Lost())
	close(out.unblock)
	cancel()
	<-wr.Done()
}

// Guards against one frequent message that displaces all others.
func TestRateOfOneMessage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var out bytes.Buffer
	wr := New(ctx, clockwork.NewFakeClock(), &out)
	log := wr.Logger("process", "p")
	for range maxPerSecond + 50 {
		log.Info("flood")
	}
	log.WithValues("more", 1).Info("other", "request", "r")
	cancel()
	<-wr.Done()
	assert.Equal(t, uint64(50), wr.Lost())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, maxPerSecond+1)
	var last map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[maxPerSecond]), &last))
	assert.Equal(t, []any{"other", "p", "r"}, []any{last["msg"], last["process"], last["request"]})
}
