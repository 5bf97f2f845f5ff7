package logsearch

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const log = `  12.1 p1 {"ts":"2026-08-19T18:42:02.833Z","msg":"request ended","process":"p1","request":"r1","status":502,"reason":"upstream-died","upstream":"u1","took":3000}
not a log line
{"ts":"2026-08-19T18:42:02.800Z","msg":"request ended","process":"p1","request":"r2","upstream":"u1"}
{"ts":"2026-08-19T18:42:02.885Z","msg":"upstream died","process":"p2","upstream":"u1"}
{"ts":"2026-08-19T18:41:55.000Z","msg":"upstream known","process":"p2","upstream":"u1"}
{"ts":"2026-08-19T18:41:54.000Z","msg":"upstream known","process":"p2","upstream":"u1"}
{"ts":"2026-08-19T18:42:02.000Z","msg":"upstream gone","process":"p2","upstream":"u2"}
{"msg":"no time"}
`

// Guards against lines that are missing, unrelated or out of order in the
// search for a request: its own lines and those about its upstream, from all
// processes.
func TestForRequest(t *testing.T) {
	ix := New()
	require.NoError(t, ix.Read(strings.NewReader(log)))
	assert.Equal(t, 2, ix.Skipped())
	var got []string
	for _, li := range ix.ForRequest("r1") {
		got = append(got, li.String())
	}
	assert.Equal(t, []string{
		`18:41:55.000 p2 upstream known upstream=u1`,
		`18:42:02.833 p1 request ended request=r1 status=502 reason=upstream-died took=3000 upstream=u1`,
		`18:42:02.885 p2 upstream died upstream=u1`,
	}, got)
	assert.Empty(t, ix.ForRequest("other"))
}
