package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// bound limits how long a test waits for an event; no result depends on its length.
const bound = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	se  *Server
	log *record.Log
	clk *clockwork.FakeClock
	cl  *http.Client
	ctx context.Context
}

// start returns an engine on a fake clock: 1 ms of prefill for each uncached
// token, 10 ms a step and 1 ms more for each sequence.
func start(t *testing.T, opts ...Option) fixture {
	clk := clockwork.NewFakeClock()
	log := record.New(clk)
	se := New(clk, "eng-1", log, append([]Option{WithTimes(time.Millisecond, 10*time.Millisecond, time.Millisecond)}, opts...)...)
	life, stop := context.WithCancel(context.Background())
	require.NoError(t, se.Start(life, "127.0.0.1:0"))
	tr := &http.Transport{}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	t.Cleanup(func() { stop(); <-se.Done(); tr.CloseIdleConnections(); cancel() })
	return fixture{se: se, log: log, clk: clk, cl: &http.Client{Transport: tr}, ctx: ctx}
}

// generate sends a request; the channel is closed at the end of its response.
func (fx fixture) generate(id, prompt string, tokens, priority int) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"priority":%d,"stream":true}`, prompt, tokens, priority)
		req, _ := http.NewRequestWithContext(fx.ctx, http.MethodPost, "http://"+fx.se.Address()+"/v1/completions", strings.NewReader(body))
		req.Header.Set("X-Request-Id", id)
		res, err := fx.cl.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}()
	return ended
}

// step waits for the running step and ends it after d. A step shorter than
// d leaves no timer to wait for, or shifts the durations that the test compares.
func (fx fixture) step(t *testing.T, d time.Duration) {
	t.Helper()
	for _, part := range []time.Duration{d - 1, 1} {
		require.NoError(t, fx.clk.BlockUntilContext(fx.ctx, 1))
		fx.clk.Advance(part)
	}
}

func (fx fixture) await(t *testing.T, running, waiting int) {
	t.Helper()
	require.Eventually(t, func() bool {
		fx.se.mu.Lock()
		defer fx.se.mu.Unlock()
		return len(fx.se.running) == running && len(fx.se.waiting) == waiting
	}, bound, time.Millisecond)
}

func (fx fixture) get(t *testing.T, path string) string {
	t.Helper()
	res, err := fx.cl.Get("http://" + fx.se.Address() + path)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return string(body)
}

func (fx fixture) assertTook(t *testing.T, id string, took time.Duration) {
	t.Helper()
	ex := fx.log.ByRequest(id)[0]
	assert.Equal(t, record.Done, ex.Outcome)
	assert.Equal(t, took, ex.EndedAt.Sub(ex.StartedAt))
}

func TestBatch(t *testing.T) {
	// If a larger batch cost nothing, routing by load would show no benefit in tests.
	t.Run("a step grows with the batch", func(t *testing.T) {
		fx := start(t)
		first := fx.generate("a", "", 2, 0)
		fx.await(t, 1, 0)
		second := fx.generate("b", "", 1, 0)
		fx.await(t, 1, 1)
		fx.step(t, 11*time.Millisecond)
		fx.await(t, 2, 0)
		fx.step(t, 12*time.Millisecond)
		<-first
		<-second
		fx.assertTook(t, "a", 23*time.Millisecond)
		fx.assertTook(t, "b", 12*time.Millisecond)
	})
	t.Run("urgent sequences start first", func(t *testing.T) {
		fx := start(t, WithCapacity(1))
		ends := []<-chan struct{}{fx.generate("running", "", 1, 9)}
		fx.await(t, 1, 0)
		for i, id := range []string{"late", "late too", "urgent"} {
			ends = append(ends, fx.generate(id, "", 1, 5-2*(i/2)))
			fx.await(t, 1, i+1)
		}
		for range ends {
			fx.step(t, 11*time.Millisecond)
		}
		order := ""
		for _, end := range ends {
			<-end
		}
		for _, ex := range fx.log.All() {
			order += ex.RequestID + ","
		}
		assert.Equal(t, "running,urgent,late,late too,", order)
	})
	t.Run("a cached prefix shortens the prefill", func(t *testing.T) {
		fx := start(t)
		prompt := strings.Repeat("x", 2*BlockBytes)
		for _, tc := range []struct {
			id     string
			tokens int
		}{{"cold", 2 * BlockBytes / bytesPerToken}, {"warm", 0}} {
			took := time.Duration(tc.tokens+11) * time.Millisecond
			end := fx.generate(tc.id, prompt, 1, 0)
			fx.step(t, took)
			<-end
			fx.assertTook(t, tc.id, took)
		}
	})
}

// Immediate reports would hide the effect of stale ones on routing.
func TestReportsLag(t *testing.T) {
	fx := start(t, WithLag(time.Second))
	end := fx.generate("a", strings.Repeat("x", BlockBytes), 1, 0)
	fx.await(t, 1, 0)
	assert.Contains(t, fx.get(t, "/metrics"), "engine_requests_running 0")
	assert.NotContains(t, fx.get(t, "/v1/cache_events?since=0"), Stored)
	fx.clk.Advance(time.Second)
	<-end
	assert.Contains(t, fx.get(t, "/metrics"), "engine_requests_running 1")
	assert.Contains(t, fx.get(t, "/v1/cache_events?since=0"), Stored)
	assert.NotContains(t, fx.get(t, "/v1/cache_events?since=1"), Stored)
}

func TestCache(t *testing.T) {
	clk := clockwork.NewFakeClock()
	ca := newCache(clk, 2)
	ca.gapEvery = 3
	ca.add([]uint64{1, 2})
	assert.Equal(t, 1, ca.match([]uint64{1, 9}))
	ca.add([]uint64{3}) // evicts 2, which was used before 1
	assert.Equal(t, 0, ca.match([]uint64{2}))
	assert.Equal(t, 2, ca.match([]uint64{1, 3}))
	var seqs []uint64
	for _, ev := range ca.since(0, 0) {
		seqs = append(seqs, ev.Seq)
	}
	assert.Equal(t, []uint64{1, 2, 4}, seqs, "the third event is lost")
}

// The hash of a block must cover all text before it, or two texts with an equal
// block in the middle would share a cache entry.
func TestBlocks(t *testing.T) {
	text := strings.Repeat("x", 3*BlockBytes+1)
	blocks := Blocks(text)
	require.Len(t, blocks, 3)
	assert.Equal(t, blocks[:2], Blocks(text[:3*BlockBytes-1]))
	assert.NotEqual(t, blocks[0], blocks[1])
	assert.NotEqual(t, blocks[1], Blocks("y" + text[1:])[1])
}
