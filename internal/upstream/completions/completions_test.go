package completions

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// testTimeout bounds a test that waits for an event; no result depends on its value.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	pr  *Protocol
	en  *engine.Server
	log *record.Log
	ctx context.Context
}

func start(t testing.TB, opts ...engine.Option) fixture {
	clk := clockwork.NewRealClock()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	log := record.New(clk)
	en := engine.New(clk, "eng-1", log, append([]engine.Option{engine.WithScale(0)}, opts...)...)
	life, stop := context.WithCancel(context.Background())
	require.NoError(t, en.Start(life, "127.0.0.1:0"))
	pr := New()
	t.Cleanup(func() {
		cancel()
		pr.cl.Close()
		stop()
		<-en.Done()
	})
	return fixture{pr: pr, en: en, log: log, ctx: ctx}
}

func call(prompt string, tokens int) citronstream.Call {
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens})
	return citronstream.Call{RequestID: citronstream.NewID(), AttemptID: citronstream.NewID(), Body: body}
}

// run runs a call and returns the emitted text.
func (fx fixture) run(ctx context.Context, ca citronstream.Call) (citronstream.Result, string, error) {
	var out strings.Builder
	rs, err := fx.pr.Run(ctx, fx.en.Address(), ca, func(data []byte) error {
		out.Write(data)
		return nil
	})
	return rs, out.String(), err
}

func TestRun(t *testing.T) {
	t.Run("output, usage and identity", func(t *testing.T) {
		fx := start(t)
		ca := call("hello", 40)
		rs, out, err := fx.run(fx.ctx, ca)
		require.NoError(t, err)
		assert.Equal(t, engine.Generate("hello", 40), out)
		assert.Equal(t, 200, rs.Status)
		assert.Equal(t, 40, rs.Usage.TokensOut)
		assert.Equal(t, 2, rs.Usage.TokensIn)
		ran := fx.log.ByRequest(ca.RequestID)
		require.Len(t, ran, 1)
		assert.Equal(t, record.Done, ran[0].Outcome)
		assert.Equal(t, citronstream.Digest([]byte(out)), ran[0].Output)
	})
	// Guards against a resume that loses or repeats a token.
	t.Run("resume continues the same output", func(t *testing.T) {
		fx := start(t)
		ca := call("hello", 40)
		whole := engine.Generate("hello", 40)
		ca.Prefix = engine.Generate("hello", 15)
		_, out, err := fx.run(fx.ctx, ca)
		require.NoError(t, err)
		assert.Equal(t, whole, ca.Prefix+out)
		ca.Prefix = whole
		_, out, err = fx.run(fx.ctx, ca)
		require.NoError(t, err)
		assert.Empty(t, out)
	})
	// Guards against a truncated stream of an engine that died being reported as
	// complete.
	t.Run("poison kills the engine", func(t *testing.T) {
		fx := start(t)
		rs, _, err := fx.run(fx.ctx, call("citronstream-poison", 40))
		assertFault(t, err, citronstream.MayHaveRun, citronstream.CodeUpstreamDied)
		assert.True(t, rs.Died)
		assert.Equal(t, record.Poisoned, fx.log.All()[0].Outcome)
		_, _, err = fx.run(fx.ctx, call("hello", 40))
		assertFault(t, err, citronstream.NotRun, citronstream.CodeUnavailable)
		require.NoError(t, fx.en.Restart())
		_, out, err := fx.run(fx.ctx, call("hello", 4))
		require.NoError(t, err)
		assert.Equal(t, engine.Generate("hello", 4), out)
	})
	t.Run("error status", func(t *testing.T) {
		fx := start(t, engine.WithModels("m"))
		rs, _, err := fx.run(fx.ctx, call("hello", 4))
		assertFault(t, err, citronstream.Ran, citronstream.CodeUpstreamFailed)
		assert.Equal(t, 404, rs.Status)
	})
	t.Run("body without prompt", func(t *testing.T) {
		fx := start(t)
		_, _, err := fx.run(fx.ctx, citronstream.Call{Body: []byte(`{"prompt":7}`)})
		assertFault(t, err, citronstream.NotRun, citronstream.CodeBadRequest)
	})
}

// Guards against a cancelled call that keeps its slot at the engine.
func TestCancel(t *testing.T) {
	fx := start(t, engine.WithScale(1))
	ctx, cancel := context.WithCancel(fx.ctx)
	ca := call("hello", 4000)
	_, err := fx.pr.Run(ctx, fx.en.Address(), ca, func([]byte) error { cancel(); return nil })
	assertFault(t, err, citronstream.MayHaveRun, citronstream.CodeCanceled)
	require.Eventually(t, func() bool { return fx.log.All()[0].Outcome == record.Canceled }, testTimeout, time.Millisecond)
}

func assertFault(t *testing.T, err error, verdict citronstream.Verdict, code citronstream.Code) {
	t.Helper()
	require.Error(t, err)
	fa := citronstream.FaultOf(err)
	assert.Equal(t, verdict, fa.Verdict, "%v", err)
	assert.Equal(t, code, fa.Code, "%v", err)
}

func TestOrder(t *testing.T) {
	t.Run("loads and unloads", func(t *testing.T) {
		fx := start(t, engine.WithModels("a", "b"), engine.WithFencing())
		require.NoError(t, fx.pr.Order(fx.ctx, fx.en.Address(), citronstream.EngineOrder{Models: []string{"b", "c"}, Role: "decode", Token: 7}))
		assert.Equal(t, []string{"b", "c"}, fx.en.Models())
		assert.Equal(t, "decode", fx.en.Role())
	})
	// Guards against an old command of a paused agent that undoes a newer one.
	t.Run("stale token", func(t *testing.T) {
		fx := start(t, engine.WithModels("a"), engine.WithFencing())
		require.NoError(t, fx.pr.Order(fx.ctx, fx.en.Address(), citronstream.EngineOrder{Models: []string{"b"}, Token: 7}))
		err := fx.pr.Order(fx.ctx, fx.en.Address(), citronstream.EngineOrder{Models: []string{"a"}, Token: 6})
		assertFault(t, err, citronstream.NotRun, citronstream.CodeStale)
		assert.Equal(t, []string{"b"}, fx.en.Models())
	})
	t.Run("engine without fencing accepts an old token", func(t *testing.T) {
		fx := start(t, engine.WithModels("a"))
		require.NoError(t, fx.pr.Order(fx.ctx, fx.en.Address(), citronstream.EngineOrder{Models: []string{"b"}, Token: 7}))
		require.NoError(t, fx.pr.Order(fx.ctx, fx.en.Address(), citronstream.EngineOrder{Models: []string{"a"}, Token: 6}))
		assert.Equal(t, []string{"a"}, fx.en.Models())
	})
}
