package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes = 16 << 10
	// maxQueuedChunks bounds the delayed data of one direction to 1 MiB.
	maxQueuedChunks = 64
)

// chunk is a part of a stream; an empty one marks the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	re                     *Relay
	client, server         net.Conn
	forwarded              atomic.Int64
	silent                 chan struct{}
	closed                 chan struct{}
	silenceOnce, closeOnce sync.Once
}

func (pc *proxiedConn) silence() { pc.silenceOnce.Do(func() { close(pc.silent) }) }

func (pc *proxiedConn) cut() {
	pc.closeOnce.Do(func() {
		close(pc.closed)
		_ = pc.client.Close()
		_ = pc.server.Close()
	})
}

// run forwards data until both directions have ended.
func (pc *proxiedConn) run() {
	var wg sync.WaitGroup
	for _, direction := range [][2]net.Conn{{pc.client, pc.server}, {pc.server, pc.client}} {
		queue := make(chan chunk, maxQueuedChunks)
		wg.Go(func() { pc.read(direction[0], queue) })
		wg.Go(func() { pc.write(direction[1], queue) })
	}
	wg.Wait()
}

// waitIfSilent waits for the cut if the connection is silent, and reports whether it was.
func (pc *proxiedConn) waitIfSilent() bool {
	select {
	case <-pc.silent:
		<-pc.closed
		return true
	default:
		return false
	}
}

func (pc *proxiedConn) read(src net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if pc.waitIfSilent() {
			return
		}
		if err != nil && !errors.Is(err, io.EOF) {
			pc.cut() // a reset cuts both sides; EOF is forwarded as a half-close
			return
		}
		ch := chunk{data: buf[:n], due: pc.re.clk.Now().Add(time.Duration(pc.re.delay.Load()))}
		select {
		case queue <- ch:
		case <-pc.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (pc *proxiedConn) write(dst net.Conn, queue <-chan chunk) {
	for ch := range queue {
		if !pc.waitUntil(ch.due) || pc.waitIfSilent() {
			return
		}
		if len(ch.data) == 0 {
			if half, ok := dst.(interface{ CloseWrite() error }); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if !pc.send(dst, ch.data) {
			return
		}
	}
}

// send writes data up to the byte limit and cuts the connection there.
func (pc *proxiedConn) send(dst net.Conn, data []byte) bool {
	limit := pc.re.byteLimit.Load()
	before := pc.forwarded.Add(int64(len(data))) - int64(len(data))
	over := limit > 0 && before+int64(len(data)) >= limit
	if over {
		data = data[:max(0, limit-before)]
	}
	if _, err := dst.Write(data); err != nil || over {
		pc.cut()
		return false
	}
	return true
}

// waitUntil waits until due; it returns false if the connection was cut before.
func (pc *proxiedConn) waitUntil(due time.Time) bool {
	left := due.Sub(pc.re.clk.Now())
	if left <= 0 {
		return true
	}
	timer := pc.re.clk.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-pc.closed:
		return false
	}
}
