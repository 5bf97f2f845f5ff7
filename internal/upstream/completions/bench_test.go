package completions

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/stretchr/testify/require"
)

const benchTokens = 2000

func reportTokenRate(b *testing.B, tokens int) {
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkRelay compares a stream through the protocol with reading the raw
// bytes of the test engine: long streams for the token rate, streams of one
// token for the time to first token. Use -cpu 1 for the rate of a core.
func BenchmarkRelay(b *testing.B) {
	fx := start(b, engine.WithScale(0))
	for _, tokens := range []int{1, benchTokens} {
		ca := call("hello", tokens)
		b.Run(fmt.Sprintf("direct/tokens=%d", tokens), func(b *testing.B) {
			body, _, err := requestBody(ca)
			require.NoError(b, err)
			cl := &http.Client{Transport: &http.Transport{}}
			for b.Loop() {
				res, err := cl.Post("http://"+fx.en.Address()+defaultPath, "application/json", bytes.NewReader(body))
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, res.Body)
				require.NoError(b, err)
				_ = res.Body.Close()
			}
			reportTokenRate(b, tokens)
			cl.CloseIdleConnections()
		})
		b.Run(fmt.Sprintf("completions/tokens=%d", tokens), func(b *testing.B) {
			for b.Loop() {
				_, err := fx.pr.Run(context.Background(), fx.en.Address(), ca, func([]byte) error { return nil })
				require.NoError(b, err)
			}
			reportTokenRate(b, tokens)
		})
	}
}

// memoryStream is a stream read from memory.
type memoryStream struct{ io.Reader }

func (memoryStream) Fault(_ context.Context, err error) *citronstream.Fault {
	return citronstream.FaultOf(err)
}

func (memoryStream) Drain() {}

// BenchmarkRelayEvents measures relay without a network.
func BenchmarkRelayEvents(b *testing.B) {
	event := `data: {"id":"a","object":"text_completion","model":"m","choices":[{"index":0,"text":" bacedi","finish_reason":null}]}` + "\n\n"
	data := append(bytes.Repeat([]byte(event), benchTokens), doneEvent...)
	var usage citronstream.Usage
	for b.Loop() {
		require.NoError(b, relay(context.Background(), memoryStream{bytes.NewReader(data)}, &usage, func([]byte) error { return nil }))
	}
	reportTokenRate(b, benchTokens)
}
