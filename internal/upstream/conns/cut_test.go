package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cutConn is the script of a connection on which an answer breaks off.
type cutConn struct {
	before string // answer to an earlier request on the connection, with its identifier
	text   string // what is sent of the answer
	reset  bool
}

// serve answers the requests of one connection.
func (cc *cutConn) serve(nc net.Conn, br *bufio.Reader) {
	if cc.before != "" {
		readRequest(br)
		fmt.Fprint(nc, cc.before)
	}
	id := readRequest(br)
	fmt.Fprint(nc, strings.ReplaceAll(cc.text, "ID", id))
	if cc.reset {
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
}

// assertHeadIncomplete sends a request whose answer breaks off and checks that there is none.
func assertHeadIncomplete(t *testing.T, cc *cutConn) {
	t.Helper()
	po := newPool()
	defer po.Close()
	address := serveScripts(t, cc.serve)
	if cc.before != "" {
		_, err := send(po, address, "0")
		require.NoError(t, err)
	}
	ans, err := po.Send(context.Background(), address, newRequest("7"))
	if err == nil {
		body, err := io.ReadAll(ans)
		ans.Close()
		assert.Fail(t, "a head that breaks off is an answer", "status %d, body %q, error %v, after %q", ans.Status, body, err, cc.text)
	}
}

// Guards against a head that breaks off and is taken for a whole one: the parser takes the
// last line before the end of a connection for a line that has ended.
func TestCutHeads(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nId: ID\r\nKeep-Alive: timeout=5\r\n"
	for framing, head := range map[string]string{
		"length":     status + "Content-Length: 3\r\n\r\n",
		"chunks":     status + "Transfer-Encoding: chunked\r\n\r\n",
		"neither":    status + "\r\n",
		"empty":      status + "Content-Length: 0\r\n\r\n",
		"line feeds": strings.ReplaceAll(status+"\r\n", "\r", ""),
		"folded":     status + "A: b\r\n c\r\n\r\n",
		"spaces":     status + "A: b\r\n \r\n\r\n",
		"no header":  "HTTP/1.1 200 OK\r\n\r\n",
	} {
		for first, before := range map[string]string{
			"": "", "interim": "HTTP/1.1 100 Continue\r\n\r\n",
			"stale": "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx",
		} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s %t", framing, first, reset), func(t *testing.T) {
					for cut := range len(head) {
						assertHeadIncomplete(t, &cutConn{text: before + head[:cut], reset: reset})
						assertHeadIncomplete(t, &cutConn{before: answerText("0", "x"), text: before + head[:cut], reset: reset})
					}
				})
			}
		}
	}
}

// racePlays is how often an answer is sent whose outcome could depend on a race.
const racePlays = 50

// sendLong sends a request with a body that exceeds what the sockets hold.
func sendLong(po *Pool, address string) (string, error) {
	rq := newRequest("1")
	rq.Body = [][]byte{make([]byte, 16<<20)}
	ans, err := po.Send(context.Background(), address, rq)
	if err != nil {
		return "", err
	}
	defer ans.Close()
	body, err := io.ReadAll(ans)
	return string(body), err
}

// Guards against an answer without a length that is reset while its request is still being
// written, and that is returned as a whole one: the write may get the reset, and the read EOF.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	for name, body := range map[string]string{"part": "half", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			for range racePlays {
				po := newPool()
				_, err := sendLong(po, serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
					_, _ = http.ReadRequest(br)
					fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+body)
					clk.Sleep(time.Millisecond) // the reader waits for more
					_ = nc.(*net.TCPConn).SetLinger(0)
				}))
				assert.ErrorIs(t, err, syscall.ECONNRESET)
				po.Close()
			}
		})
	}
}

// Guards against a whole early answer that is taken for a broken one: its upstream ends its
// side, and resets the connection as it has not read all of the request.
func TestEarlyAnswerThatEnds(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "read on": false} {
		t.Run(name, func(t *testing.T) {
			for range racePlays {
				po := newPool()
				body, err := sendLong(po, serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
					_, _ = http.ReadRequest(br)
					fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
					_ = nc.(*net.TCPConn).CloseWrite()
					if reset {
						_ = nc.(*net.TCPConn).SetLinger(0)
						return
					}
					_, _ = io.Copy(io.Discard, br)
				}))
				assert.NoError(t, err)
				assert.Equal(t, "whole", body)
				po.Close()
			}
		})
	}
}
