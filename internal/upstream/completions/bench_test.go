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

func report(b *testing.B, tokens int) {
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkRelay compares a stream through the protocol with reading the
// stand-in's bytes: long ones for the token rate, those of one token for the
// time to first token. Use -cpu 1 for the rate of a core.
func BenchmarkRelay(b *testing.B) {
	fx := start(b, engine.WithScale(0))
	for _, tokens := range []int{1, benchTokens} {
		ca := call("hello", tokens)
		b.Run(fmt.Sprintf("direct/tokens=%d", tokens), func(b *testing.B) {
			body, _, err := requestBody(ca)
			require.NoError(b, err)
			cl := &http.Client{Transport: &http.Transport{}}
			for b.Loop() {
				res, err := cl.Post("http://"+fx.en.Address()+path, "application/json", bytes.NewReader(body))
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, res.Body)
				require.NoError(b, err)
				_ = res.Body.Close()
			}
			report(b, tokens)
			cl.CloseIdleConnections()
		})
		b.Run(fmt.Sprintf("completions/tokens=%d", tokens), func(b *testing.B) {
			for b.Loop() {
				_, err := fx.pr.Run(context.Background(), fx.en.Address(), ca, func([]byte) error { return nil })
				require.NoError(b, err)
			}
			report(b, tokens)
		})
	}
}

// memoryStream is a stream without a network.
type memoryStream struct{ io.Reader }

func (memoryStream) Fault(_ context.Context, err error) *citronstream.Fault {
	return citronstream.FaultOf(err)
}

func (memoryStream) Drain() {}

// BenchmarkRelayEvents is the protocol's own work on a stream.
func BenchmarkRelayEvents(b *testing.B) {
	event := `data: {"id":"a","object":"text_completion","model":"m","choices":[{"index":0,"text":" bacedi","finish_reason":null}]}` + "\n\n"
	data := append(bytes.Repeat([]byte(event), benchTokens), doneEnd...)
	var us citronstream.Usage
	for b.Loop() {
		require.NoError(b, relay(context.Background(), memoryStream{bytes.NewReader(data)}, &us, func([]byte) error { return nil }))
	}
	report(b, benchTokens)
}
