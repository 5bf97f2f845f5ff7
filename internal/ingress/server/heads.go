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
	// tlsBytes is what crypto/tls adds: keys and buffers. 400 connections after one request
	// took 33.1 KB each with TLS at both ends in one process, 19.7 KB without.
	tlsBytes = 16 << 10
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

// headScan follows the lines of a head as they are read.
type headScan struct {
	lines   int  // with the start line, without empty ones
	length  int  // of the line that has not ended
	onlyCR  bool // that line is a carriage return
	longest int  // line
	ended   bool // by an empty line after the start line
}

// scan follows bytes up to the end of the head, and returns how many these are.
func (hs *headScan) scan(data []byte) (count int) {
	hs.ended = false // the HTTP server reads on, so it has seen no end
	for count < len(data) {
		end := bytes.IndexByte(data[count:], '\n')
		if end < 0 {
			rest := data[count:]
			hs.onlyCR = hs.length == 0 && len(rest) == 1 && rest[0] == '\r'
			hs.length += len(rest)
			hs.longest = max(hs.longest, hs.length)
			return len(data)
		}
		line := data[count : count+end]
		empty := hs.length == 0 && (end == 0 || end == 1 && line[0] == '\r') || hs.onlyCR && end == 0
		hs.longest = max(hs.longest, hs.length+end+1)
		hs.length, hs.onlyCR, count = 0, false, count+end+1
		if !empty {
			hs.lines++
		} else if hs.lines > 0 {
			hs.ended = true
			return count
		}
	}
	return count
}

// costOf returns the memory that bytes of a head take.
func costOf(data []byte) int {
	return headFactor*len(data) + bytes.Count(data, []byte{'\n'})*lineBytes
}

// charge accounts bytes that were read, before they are parsed. Its error is that of a head
// which was refused.
func (cc *callerConn) charge(data []byte) error {
	cc.mu.Lock()
	if cc.phase == body {
		if len(data) == 1 {
			// The HTTP server watches for the end of a connection by reads of one byte, and
			// keeps what it has buffered.
			cc.last += costOf(data)
			cc.tail.scan(data)
		} else {
			cc.last, cc.tail = costOf(data), tailOf(data)
		}
		cc.mu.Unlock()
		return nil
	}
	ofHead := cc.scan.scan(data)
	cost := costOf(data[:ofHead])
	cc.last, cc.tail = costOf(data[ofHead:]), tailOf(data[ofHead:])
	scan := cc.scan
	cc.mu.Unlock()
	return cc.reserve(scan, cost)
}

// chargeBuffered accounts the start of a head that came with the request before, when the
// HTTP server waits for the rest of it.
func (cc *callerConn) chargeBuffered() error {
	cc.mu.Lock()
	// A wait in the phase idle means that less than the 4 bytes for which the HTTP server
	// waits first are buffered.
	if cc.phase != head || cc.headBytes > 0 || cc.last == 0 {
		cc.mu.Unlock()
		return nil
	}
	cost := cc.last
	cc.last = 0
	// Bytes of the body may precede the head in its first line, so its length is not known.
	cc.scan = headScan{lines: cc.tail.lines, length: min(1, cc.tail.length), onlyCR: cc.tail.onlyCR}
	scan := cc.scan
	cc.mu.Unlock()
	return cc.reserve(scan, cost)
}

// tailOf follows the lines beyond the last end of a head.
func tailOf(data []byte) (tail headScan) {
	for len(data) > 0 {
		tail = headScan{}
		data = data[tail.scan(data):]
	}
	if tail.ended {
		return headScan{}
	}
	return tail
}

// reserve reserves the memory of a head in hand, or refuses it.
func (cc *callerConn) reserve(scan headScan, cost int) error {
	maxLines, maxLine := cc.callers.lines, cc.callers.line
	tooMany := maxLines > 0 && scan.lines > maxLines+1 // the start line
	tooLong := maxLine > 0 && scan.longest > maxLine
	switch {
	case tooMany:
		cc.refuseHead(tooLarge, LimitHeaderLines)
		return errHeadTooLong
	case tooLong:
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
	_, err := io.WriteString(cc.stream, "HTTP/1.1 "+status+"\r\nContent-Type: text/plain; charset=utf-8\r\n"+more+"Connection: close\r\n\r\n"+status)
	if err == nil {
		_ = cc.CloseWrite() // fails only on a closed connection
	}
}
