package jsonpost

import (
	"context"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/protocol"
	"github.com/citronstream/citronstream/internal/standin/pool"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestAgainstPool(t *testing.T) {
	clk := clockwork.NewRealClock()
	log := record.New(clk)
	ctx, cancel := context.WithCancel(context.Background())
	se := pool.New(clk, "enc-1", citronstream.KindEncoder, log, pool.WithScale(0))
	require.NoError(t, se.Start(ctx, "127.0.0.1:0"))
	pr := New()
	run := func(body string) (citronstream.Result, string, error) {
		var out []byte
		rs, err := pr.Run(ctx, se.Address(), citronstream.Call{RequestID: "r", Path: "/encode", Body: []byte(body)},
			func(data []byte) error { out = append(out, data...); return nil })
		return rs, string(out), err
	}
	t.Run("answer", func(t *testing.T) {
		_, out, err := run(`{"Text":"a"}`)
		require.NoError(t, err)
		assert.Equal(t, string(pool.Answer(citronstream.KindEncoder, []byte(`{"Text":"a"}`))), out)
	})
	t.Run("rest of an answer", func(t *testing.T) {
		body := []byte(`{"Text":"a"}`)
		whole := string(pool.Answer(citronstream.KindEncoder, body))
		for _, prefix := range []string{whole, "other"} {
			var out []byte
			ca := citronstream.Call{RequestID: "r", Path: "/encode", Body: body, Prefix: prefix, ResumeFrom: len(prefix)}
			_, err := pr.Run(ctx, se.Address(), ca, func(data []byte) error { out = append(out, data...); return nil })
			assert.Equal(t, prefix == whole, err == nil, prefix)
			assert.Empty(t, out, prefix)
		}
	})
	t.Run("error answer is not emitted", func(t *testing.T) {
		se.Fail(1)
		defer se.Fail(0)
		rs, out, err := run(`{}`)
		assert.Empty(t, out)
		assert.Equal(t, 500, rs.Status)
		assert.Equal(t, citronstream.Ran, citronstream.VerdictOf(err))
	})
	t.Run("poison", func(t *testing.T) {
		rs, _, err := run(`"citronstream-poison"`)
		assert.True(t, rs.Died)
		assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
	})
	pr.cl.Close()
	cancel()
	<-se.Done()
	assert.Contains(t, protocol.Names(), "jsonpost")
}
