package exchange

import (
	"context"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/stretchr/testify/assert"
)

// assertInvalidHead sends a request whose answer has an invalid head and a whole body, and
// checks that it is no answer, nor a statement that the request has run or has not.
func assertInvalidHead(t *testing.T, head string) {
	t.Helper()
	for _, rest := range []string{"\r\n", "Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		rs, cl := newRawServer(t, func(rc *rawConn) {
			if rc.request() {
				rc.answer(head + rest)
			}
		}), New()
		err := run(ctx, cl, rs.ln.Addr().String(), 10, nil)
		cl.Close()
		rs.stop()
		cancel()
		if assert.Error(t, err, head+rest) {
			assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err), "%v, after %q", err, head+rest)
		}
	}
}

// Guards against an answer whose status is none, and that counts as one of an upstream that has
// run the request.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range rawanswer.InvalidStatuses {
		t.Run(status, func(t *testing.T) { assertInvalidHead(t, "HTTP/1.1 "+status+"\r\n") })
	}
}

// Guards against an answer with a line whose name is none: if it was to tell the length, the
// body is not the upstream's.
func TestInvalidFieldNames(t *testing.T) {
	for _, line := range rawanswer.InvalidLines {
		t.Run(line, func(t *testing.T) { assertInvalidHead(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n") })
	}
}
