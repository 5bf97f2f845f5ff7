package completions

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const benchTokens = 2000

// direct reads the stand-in's stream without decoding it.
func direct(b *testing.B, cl *http.Client, address string, body []byte) (first time.Duration) {
	clk := clockwork.NewRealClock()
	began := clk.Now()
	res, err := cl.Post("http://"+address+"/v1/completions", "application/json", bytes.NewReader(body))
	require.NoError(b, err)
	one := make([]byte, 1)
	_, err = io.ReadFull(res.Body, one)
	require.NoError(b, err)
	first = clk.Since(began)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(b, err)
	_ = res.Body.Close()
	return first
}

func report(b *testing.B, first time.Duration) {
	b.ReportMetric(float64(b.N)*benchTokens/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(first.Microseconds())/float64(b.N), "µs/first")
}

// BenchmarkRelay compares the token rate through the protocol with that of
// reading the stand-in's bytes. One stream at a time; use -cpu 1 for the rate of a core.
func BenchmarkRelay(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		fx := start(b, engine.WithScale(0))
		body, _, err := requestBody(call("hello", benchTokens))
		require.NoError(b, err)
		cl := &http.Client{Transport: &http.Transport{}}
		var first time.Duration
		for b.Loop() {
			first += direct(b, cl, fx.en.Address(), body)
		}
		report(b, first)
		cl.CloseIdleConnections()
	})
	b.Run("completions", func(b *testing.B) {
		fx := start(b, engine.WithScale(0))
		clk := clockwork.NewRealClock()
		ca := call("hello", benchTokens)
		var first time.Duration
		for b.Loop() {
			began, seen := clk.Now(), false
			_, err := fx.pr.Run(context.Background(), fx.en.Address(), ca, func([]byte) error {
				if !seen {
					first, seen = first+clk.Since(began), true
				}
				return nil
			})
			require.NoError(b, err)
		}
		report(b, first)
	})
}

// memoryStream is a stream without a network.
type memoryStream struct{ io.Reader }

func (memoryStream) Fault(_ context.Context, err error) *citronstream.Fault {
	return citronstream.FaultOf(err)
}

func (memoryStream) Drain() {}

// BenchmarkRelayEvents is the protocol's own work on one event.
func BenchmarkRelayEvents(b *testing.B) {
	stream := bytes.Repeat([]byte(`data: {"id":"a","object":"text_completion","model":"m","choices":[{"index":0,"text":" bacedi","finish_reason":null}]}`+"\n\n"), benchTokens)
	stream = append(stream, doneEnd...)
	var us citronstream.Usage
	for b.Loop() {
		require.NoError(b, relay(context.Background(), memoryStream{bytes.NewReader(stream)}, &us, func([]byte) error { return nil }))
	}
	report(b, 0)
}

// BenchmarkFirstToken measures the time of a stream of one token, which
// bounds the time to first token from above.
func BenchmarkFirstToken(b *testing.B) {
	fx := start(b, engine.WithScale(0))
	ca := call("hello", 1)
	b.Run("direct", func(b *testing.B) {
		body, _, err := requestBody(ca)
		require.NoError(b, err)
		cl := &http.Client{Transport: &http.Transport{}}
		for b.Loop() {
			direct(b, cl, fx.en.Address(), body)
		}
		cl.CloseIdleConnections()
	})
	b.Run("completions", func(b *testing.B) {
		for b.Loop() {
			_, _, err := fx.run(context.Background(), ca)
			require.NoError(b, err)
		}
	})
}
