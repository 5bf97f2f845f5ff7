package server

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

const (
	// connBytes is what net/http holds for a connection: its buffers of 4 KB each, the
	// stacks of two goroutines, and the structs. 400 idle ones took 21.9 KB of heap and stacks
	// each, together with the buffer of 4 KB of their clients in the same process.
	connBytes = 22 << 10
	// A head is held as read, as strings and in the request to the upstream; each of its
	// lines is an entry of two maps with a list of values. At most 242 bytes of heap a line
	// were measured with distinct short names; the rest is for maps that are copied as they grow.
	headFactor = 3
	lineBytes  = 320
	// shedWait is how long a read waits for memory that others were told to give back.
	shedWait = 250 * time.Millisecond
)

// errNoMemory ends the read of a head for which there is no memory.
var errNoMemory = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no memory left for the head")}

// charge accounts bytes that were read, before they are parsed. Its error is that of a head
// which was refused.
func (cc *callerConn) charge(data []byte) error {
	lines := bytes.Count(data, []byte{'\n'})
	cost := headFactor*len(data) + lines*lineBytes
	cc.mu.Lock()
	cc.last = cost
	if cc.phase == body {
		cc.mu.Unlock()
		return nil
	}
	cc.headLines += lines
	longest := cc.longestLine(data)
	maxLines, maxLine := cc.callers.lines, cc.callers.line
	tooMany := maxLines > 0 && cc.headLines > maxLines+emptyLines
	cc.mu.Unlock()
	switch {
	case tooMany:
		cc.refuseHead(tooLarge, LimitHeaderLines)
		return errHeadTooLong
	case maxLine > 0 && longest > maxLine:
		cc.refuseHead(tooLarge, LimitHeaderLine)
		return errHeadTooLong
	case !cc.callers.take(cc.memory, cost):
		cc.refuseHead(unavailable, LimitMemory)
		return errNoMemory
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.head += cost
	return nil
}

// emptyLines are the start line and the empty lines around a head.
const emptyLines = 3

// longestLine returns the length of the longest line so far that has bytes in data. The
// caller holds the lock.
func (cc *callerConn) longestLine(data []byte) (longest int) {
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			cc.lineBytes += len(data)
			return max(longest, cc.lineBytes)
		}
		longest = max(longest, cc.lineBytes+end+1)
		cc.lineBytes, data = 0, data[end+1:]
	}
	return longest
}

// take reserves memory. If others were told to give some back, it waits for them.
func (ca *callers) take(ho *callermemory.Holder, bytes int) bool {
	return ca.memory.Wait(ho, bytes, callermemory.Request, shedWait)
}

// isOverdrawn reports whether the head exceeds the memory.
func (cc *callerConn) isOverdrawn() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.overdrawn
}

// Statuses of refused heads.
const (
	tooLarge    = "431 Request Header Fields Too Large"
	unavailable = "503 Service Unavailable"
)

// refuseHead answers a request whose head exceeds a limit.
func (cc *callerConn) refuseHead(status, limit string) {
	cc.callers.hit(limit)
	more := ""
	if status == unavailable {
		more = "Retry-After: 1\r\n"
	}
	_ = cc.SetWriteDeadline(cc.callers.clk.Now().Add(refusalTime)) // fails only on a closed connection
	_, err := io.WriteString(cc.TCPConn, "HTTP/1.1 "+status+"\r\nContent-Type: text/plain; charset=utf-8\r\n"+more+"Connection: close\r\n\r\n"+status)
	if err == nil {
		_ = cc.CloseWrite() // fails only on a closed connection
	}
}
