package batch

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
)

const (
	released = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	noResult = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 30\r\n\r\n" + `{"items":[{"reason":"error"}]}`
)

func refusal(status string) string {
	return "HTTP/1.1 " + status + "\r\nX-Citronstream-Not-Executed: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
}

// answerNext reads a request and writes its answer, which for a batch is one result that
// names its request. A text, if there is one, comes at once, and the answer only with the
// next request. It returns false at the end of the connection.
func answerNext(nc net.Conn, br *bufio.Reader, before string) bool {
	rq, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	var batch struct {
		Items []struct {
			ID string `json:"id"`
		} `json:"items"`
	}
	if json.NewDecoder(rq.Body).Decode(&batch) != nil {
		return false
	}
	_ = rq.Body.Close() // skips to the next request
	if before != "" {
		fmt.Fprint(nc, before)
		_, _ = br.Peek(1)
	}
	if len(batch.Items) == 0 {
		fmt.Fprint(nc, released)
		return true
	}
	answer(nc, "a/"+batch.Items[0].ID)
	return true
}

// Guards against a copy of an answer that is taken for the answer to the next batch on
// its connection: the batch is sent again though it runs, and its results go to the
// batch after it.
func TestCopiesOfAnswers(t *testing.T) {
	honest := func(nc net.Conn, br *bufio.Reader) {
		for answerNext(nc, br, "") {
		}
	}
	for name, text := range map[string]string{
		"refusal":             refusal("503 Busy"),
		"refusal by number":   refusal("429 Busy"),
		"refusal by instance": "HTTP/1.1 421 Misdirected\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n",
		"failure":             "HTTP/1.1 500 Failed\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n",
		"no result":           noResult,
	} {
		t.Run(name, func(t *testing.T) {
			nd := serve(t, func(nc net.Conn, br *bufio.Reader) {
				read(br)
				fmt.Fprint(nc, text)
				answerNext(nc, br, text)
				honest(nc, br)
			}, honest)
			po := conns.New(clk)
			defer po.Close()
			ca := New(clk, logr.Discard(), po)
			_, _ = run(ca, nd, "r1")
			for _, id := range []string{"r2", "r3"} {
				handle, err := run(ca, nd, id)
				assert.NoError(t, err)
				assert.Equal(t, "a/"+id, handle)
			}
		})
	}
}

// Guards against a copy of the answer to a release that shifts the answers to batches.
func TestCopyOfARelease(t *testing.T) {
	honest := func(nc net.Conn, br *bufio.Reader) {
		for answerNext(nc, br, "") {
		}
	}
	for name, releases := range map[string]int{"before a batch": 1, "before a release": 2} {
		t.Run(name, func(t *testing.T) {
			nd := serve(t, func(nc net.Conn, br *bufio.Reader) {
				answerNext(nc, br, "")
				answerNext(nc, br, released)
				honest(nc, br)
			}, honest)
			po := conns.New(clk)
			defer po.Close()
			ca := New(clk, logr.Discard(), po)
			for range releases {
				ca.Release(context.Background(), nd, []string{"a/0"})
			}
			_, err := run(ca, nd, "r1")
			assert.Error(t, err)
			assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
			handle, err := run(ca, nd, "r2")
			assert.NoError(t, err)
			assert.Equal(t, "a/r2", handle)
		})
	}
}
