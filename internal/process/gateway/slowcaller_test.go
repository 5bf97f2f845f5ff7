package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against giving up a sound upstream because the caller reads nothing for a while.
func TestSlowCaller(t *testing.T) {
	const count = 400
	filler := strings.Repeat("x", 60_000) // with count, more than the connections buffer
	ts := streamSite(t, func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", eventStream)
		for id := 1; id <= count; id++ {
			if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s\n\n", id, filler); err != nil {
				return
			}
			_ = http.NewResponseController(wr).Flush()
		}
	})
	ca := ts.call()
	res, err := ts.send(context.Background(), ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	ts.clk.Sleep(silence)
	raw, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	assert.Equal(t, count, strings.Count(string(raw), "\nid: ")+1)
	assert.Equal(t, 1, ts.executions(ca))
}
