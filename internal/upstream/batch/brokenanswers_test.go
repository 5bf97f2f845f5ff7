package batch

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
)

// Guards against results of an answer that is reset before its end. It has no length, and the
// batch is still being sent.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	items := []citronstream.BatchItem{{RequestID: "r", Inputs: []string{strings.Repeat("x", longBatch)}}}
	for name, body := range map[string]string{"part": itemsBody[:len(itemsBody)-1], "empty": ""} {
		t.Run(name, func(t *testing.T) {
			for range racePlays {
				se := httptest.NewServer(rawanswer.New(clk, statusOK+"\r\n"+body, rawanswer.WithReset()))
				po := conns.New(clk)
				nd := node.New(citronstream.Member{ID: "i", Address: se.Listener.Addr().String()})
				results, refused, err := New(clk, logr.Discard(), po).Run(t.Context(), nd, items)
				assert.Error(t, err)
				assert.False(t, refused)
				assert.Empty(t, results)
				po.Close()
				se.Close()
			}
		})
	}
}

const (
	// racePlays is how often an answer is sent whose outcome could depend on a race.
	racePlays = 30
	// longBatch is more than the sockets hold.
	longBatch = 8 << 20
)

// assertInvalidHead runs a batch and reads a report, whose answers have an invalid head and a
// sound body.
func assertInvalidHead(t *testing.T, head string) {
	t.Helper()
	for _, rest := range []string{
		"\r\n" + itemsBody, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(itemsBody), itemsBody),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(itemsBody), itemsBody),
	} {
		assertNoResult(t, head+rest, "")
		assertNoResult(t, head+refusedLine+rest, "")
	}
}

const refusedLine = "X-Citronstream-Not-Executed: 1\r\n"

// Guards against an answer whose status is none: its body, which may come from the upstream's
// caller, would be read as the answer, and its headers as those of a refusal.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range rawanswer.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			assertInvalidHead(t, "HTTP/1.1 "+status+"\r\n")
			assertInvalidHead(t, "HTTP/1.1 "+status+"\r\n\r\n"+statusOK)
		})
	}
}

// Guards against results and refusals of an answer with a line whose name is none.
func TestInvalidFieldNames(t *testing.T) {
	for _, line := range rawanswer.InvalidLines {
		t.Run(line, func(t *testing.T) { assertInvalidHead(t, statusOK+line+"\r\n") })
	}
}
