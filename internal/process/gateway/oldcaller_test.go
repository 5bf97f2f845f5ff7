package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a broken stream that a caller without chunked encoding takes for complete.
func TestBrokenStreamOfAnOldCaller(t *testing.T) {
	ts := streamSite(t, brokenAfter(allEvents(2), nil))
	nc, err := net.Dial("tcp", ts.entries[0].site.Callers)
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	header := site.CallerHeader("r1")
	var text strings.Builder
	require.NoError(t, header.Write(&text))
	_, err = fmt.Fprintf(nc, "%s /once/stream/ HTTP/1.0\r\nHost: h\r\n%s\r\n", http.MethodPost, text.String())
	require.NoError(t, err)
	raw, err := io.ReadAll(nc)
	assert.True(t, strings.HasPrefix(string(raw), "HTTP/1.0 200 "), string(raw))
	assert.Error(t, err, "the end of the connection stands for the end of the stream")
}
