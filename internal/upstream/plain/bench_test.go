package plain

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/standin/service"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// BenchmarkPlain compares a call through the protocol with a plain net/http
// call to the same service; the difference is the added latency.
func BenchmarkPlain(b *testing.B) {
	clk := clockwork.NewRealClock()
	se := service.New(clk, "desk-1", record.New(clk), service.WithScale(0))
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(b, se.Start(ctx, "127.0.0.1:0"))
	body := []byte(`{"Part":7}`)
	b.Run("direct", func(b *testing.B) {
		cl := &http.Client{Transport: &http.Transport{}}
		for b.Loop() {
			res, err := cl.Post("http://"+se.Address()+"/orders", "application/json", bytes.NewReader(body))
			require.NoError(b, err)
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		cl.CloseIdleConnections()
	})
	b.Run("plain", func(b *testing.B) {
		pr := New()
		ca := citronstream.Call{Path: "/orders", Key: "k", Body: body}
		for b.Loop() {
			_, _, err := run(ctx, pr, se.Address(), ca)
			require.NoError(b, err)
		}
		pr.cl.Close()
	})
	cancel()
	<-se.Done()
}
