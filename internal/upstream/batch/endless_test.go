package batch

import (
	"bufio"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
)

const (
	itemsBody   = `{"items":[{"handle":"a/1"}]}`
	statusOK    = "HTTP/1.1 200 OK\r\n"
	chunkedHead = statusOK + "Transfer-Encoding: chunked\r\n\r\n"
	// maxAllocated is what one call may allocate in all, in bytes.
	maxAllocated = 16 * maxAnswerBytes
)

// faulty is an upstream that sends a head, and a text again and again until its caller closes.
func faulty(head, again string) func(nc net.Conn, br *bufio.Reader) {
	return func(nc net.Conn, br *bufio.Reader) {
		read(br)
		if _, err := fmt.Fprint(nc, head); err != nil || again == "" {
			return
		}
		block := []byte(strings.Repeat(again, 1+64<<10/len(again)))
		for sent := 0; sent < 64<<20; sent += len(block) {
			if _, err := nc.Write(block); err != nil {
				return
			}
		}
	}
}

// assertNoResult runs a batch and reads a report, whose answers are faulty.
func assertNoResult(t *testing.T, head, again string) {
	t.Helper()
	po := conns.New(clk)
	defer po.Close()
	ca := New(clk, logr.Discard(), po)
	nd := serve(t, faulty(head, again), faulty(head, again), faulty(head, again))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	handle, err := run(ca, nd, "r")
	assert.Error(t, err, head)
	assert.Empty(t, handle)
	_, _, err = ca.Free(t.Context(), nd)
	assert.Error(t, err, head)
	ca.Release(t.Context(), nd, []string{"a/1"})
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
}

// Guards against an answer to a batch, a report or a release without end that fills the
// memory of the process.
func TestEndlessAnswers(t *testing.T) {
	for name, text := range map[string][2]string{
		"status line":     {"", "x"},
		"header lines":    {statusOK, "A:\r\n"},
		"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no length":       {statusOK + "\r\n", "["},
		"length":          {statusOK + "Content-Length: 1000000000\r\n\r\n", "["},
		"chunks":          {chunkedHead, "400\r\n" + strings.Repeat("[", 1024) + "\r\n"},
		"chunk size":      {chunkedHead, "0"},
		"chunk extension": {chunkedHead + "1;", "x"},
		"trailers":        {chunkedHead + "1\r\n{\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) { assertNoResult(t, text[0], text[1]) })
	}
}

// Guards against an answer to a batch or a report that breaks off and is taken for a whole one.
func TestCutAnswers(t *testing.T) {
	for name, whole := range map[string]string{
		"length":  fmt.Sprintf(statusOK+"Content-Length: %d\r\n\r\n%s", len(itemsBody), itemsBody),
		"chunks":  fmt.Sprintf(chunkedHead+"%x\r\n%s\r\n0\r\n\r\n", len(itemsBody), itemsBody),
		"neither": statusOK + "\r\n" + itemsBody,
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(whole) {
				assertNoResult(t, whole[:cut], "")
			}
		})
	}
}
