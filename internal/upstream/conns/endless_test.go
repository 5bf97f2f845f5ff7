package conns

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// floodBytes is what an upstream in these tests sends at most.
const floodBytes = 32 << 20

// flood writes a text again and again until the caller closes, and counts the bytes.
func flood(sent *atomic.Int64, begin, again string) func(nc net.Conn, br *bufio.Reader) {
	return func(nc net.Conn, br *bufio.Reader) {
		id := readRequest(br)
		if _, err := fmt.Fprint(nc, strings.ReplaceAll(begin, "ID", id)); err != nil {
			return
		}
		block := []byte(strings.Repeat(again, 1+4096/len(again)))
		for sent.Load() < floodBytes {
			count, err := nc.Write(block)
			sent.Add(int64(count))
			if err != nil {
				return
			}
		}
	}
}

// An upstream that sends bytes without end is cut off after a bounded number of
// them, long before they fill the memory of the process.
func TestEndlessHeads(t *testing.T) {
	const most = floodBytes / 2 // the kernel's buffers of the two sockets hold some MB
	for name, text := range map[string][2]string{
		"header lines":     {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"one line":         {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"no status line":   {"", "x"},
		"interim answers":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim header":   {"HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"},
		"stale answer":     {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		"chunk extensions": {"HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailers":         {"HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: b\r\n"},
		"a large body":     {"HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", "0;x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			po := newPool()
			defer po.Close()
			_, err := send(po, serveScripts(t, flood(&sent, text[0], text[1])), "1")
			assert.Error(t, err)
			assert.NotEqual(t, citronstream.NotRun, citronstream.VerdictOf(err))
			assert.Less(t, sent.Load(), int64(most))
		})
	}
}

// A head that has begun but drips is no answer: it ends in a stated time, not at
// the deadline of its request.
func TestDrippingHead(t *testing.T) {
	address := serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
		readRequest(br)
		for _, char := range "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 100) {
			if _, err := nc.Write([]byte(string(char))); err != nil {
				return
			}
			clk.Sleep(headTimeout / 10)
		}
	})
	po := newPool()
	defer po.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*headTimeout)
	defer cancel()
	_, err := po.Send(ctx, address, newRequest("1"))
	assert.ErrorContains(t, err, "head")
	assert.Equal(t, citronstream.CodeUpstreamDied, citronstream.FaultOf(err).Code)
	assert.NoError(t, ctx.Err())
}

// A long wait for the first byte of an answer is no drip.
func TestLateHead(t *testing.T) {
	address := serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
		id := readRequest(br)
		clk.Sleep(headTimeout + 200*time.Millisecond)
		writeAnswer(nc, id, "late")
	})
	po := newPool()
	defer po.Close()
	body, err := send(po, address, "1")
	require.NoError(t, err)
	assert.Equal(t, "late", body)
}

// An answer that goes on past its length is delivered as far as it reaches, and
// its connection is not used again. Bytes that come with the answer are seen
// before the next request; those that come only after the next request was sent
// end that one, as nobody can know whether it ran, and never become its answer.
func TestBodyPastItsLength(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\none"
	answerTwo := func(nc net.Conn, br *bufio.Reader) { writeAnswer(nc, readRequest(br), "two") }
	assertBody := func(t *testing.T, po *Pool, address, id, want string) {
		t.Helper()
		body, err := send(po, address, id)
		require.NoError(t, err)
		assert.Equal(t, want, body)
	}
	t.Run("with the answer", func(t *testing.T) {
		var sent atomic.Int64
		po := newPool()
		defer po.Close()
		address := serveScripts(t, flood(&sent, strings.Replace(answer, "%s", "ID", 1)+"x", "x"), answerTwo)
		assertBody(t, po, address, "1", "one")
		assertBody(t, po, address, "2", "two")
		assert.Less(t, sent.Load(), int64(floodBytes))
	})
	t.Run("after the next request", func(t *testing.T) {
		var sent atomic.Int64
		po := newPool()
		defer po.Close()
		address := serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
			fmt.Fprintf(nc, answer, readRequest(br))
			flood(&sent, "", "x")(nc, br)
		}, answerTwo)
		assertBody(t, po, address, "1", "one")
		_, err := send(po, address, "2")
		assert.Equal(t, citronstream.CodeUpstreamDied, citronstream.FaultOf(err).Code)
		assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
		assert.Less(t, sent.Load(), int64(floodBytes))
		assertBody(t, po, address, "3", "two")
	})
}

// A body of an answer that nobody needs is not waited for.
func TestDiscard(t *testing.T) {
	closed := make(chan struct{})
	address := serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
		defer close(closed)
		fmt.Fprintf(nc, "HTTP/1.1 503 Busy\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", readRequest(br))
		for {
			if _, err := fmt.Fprint(nc, "1\r\nx\r\n"); err != nil {
				return
			}
			clk.Sleep(10 * time.Millisecond)
		}
	})
	po := newPool()
	defer po.Close()
	ans, err := po.Send(context.Background(), address, newRequest("1"))
	require.NoError(t, err)
	began := clk.Now()
	ans.Discard()
	assert.Less(t, clk.Since(began), time.Second)
	ans.Close()
	<-closed
}
