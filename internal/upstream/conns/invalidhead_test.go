package conns

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/stretchr/testify/assert"
)

// assertInvalidHead sends a request whose answer has an invalid head, on a new connection or
// after another answer, and checks that it is no answer, and that its headers are not parsed.
func assertInvalidHead(t *testing.T, text string) {
	t.Helper()
	for _, reused := range []bool{false, true} {
		address := serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
			if reused {
				writeAnswer(nc, readRequest(br), "one")
			}
			readRequest(br)
			fmt.Fprint(nc, text)
			readRequest(br) // until the caller closes
		})
		po := newPool()
		if reused {
			body, err := send(po, address, "1")
			assert.NoError(t, err)
			assert.Equal(t, "one", body)
		}
		rq := newRequest("2")
		parse := rq.Parse
		parsed := 0
		rq.Parse = func(status int, header http.Header) citronstream.AnswerHead {
			parsed++
			return parse(status, header)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := po.Send(ctx, address, rq)
		assert.Error(t, err, text)
		assert.NoError(t, ctx.Err(), "the request waits for another answer")
		cancel()
		assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
		assert.Zero(t, parsed, text)
		po.Close()
	}
}

// Guards against an answer whose status is none, and that is taken for an interim one: its
// body would then be read as the answer.
func TestInvalidStatuses(t *testing.T) {
	const rest = "Id: 2\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	for _, status := range rawanswer.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			assertInvalidHead(t, "HTTP/1.1 "+status+"\r\n"+rest)
			assertInvalidHead(t, "HTTP/1.1 "+status+"\r\n\r\n"+answerText("2", "other"))
			assertInvalidHead(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 "+status+"\r\n"+rest)
		})
	}
}

// Guards against an answer with a line whose name is none: if it was to tell the length, the
// body is not the upstream's.
func TestInvalidFieldNames(t *testing.T) {
	const rest = "Id: 2\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	for _, line := range rawanswer.InvalidLines {
		t.Run(line, func(t *testing.T) {
			assertInvalidHead(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+rest)
			assertInvalidHead(t, "HTTP/1.1 200 OK\r\nA: b\r\n"+line+"\r\n"+rest)
			assertInvalidHead(t, "HTTP/1.1 100 Continue\r\n"+line+"\r\n\r\n"+answerText("2", "body"))
			assertInvalidHead(t, "HTTP/1.1 200 OK\r\nId: other\r\n"+line+"\r\nContent-Length: 0\r\n\r\n"+answerText("2", "body"))
		})
	}
}
