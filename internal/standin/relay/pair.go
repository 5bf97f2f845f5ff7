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
	pieceBytes = 16 << 10
	// pieces bounds what one direction holds back under a delay, at 1 MiB.
	pieces = 64
)

// piece is a part of a stream; without data it is the stream's end.
type piece struct {
	data []byte
	due  time.Time
}

// pair is one forwarded connection.
type pair struct {
	re        *Relay
	near, far net.Conn
	passed    atomic.Int64
	silent    chan struct{}
	gone      chan struct{}
	hush, end sync.Once
}

func (pa *pair) silence() { pa.hush.Do(func() { close(pa.silent) }) }

func (pa *pair) cut() {
	pa.end.Do(func() {
		close(pa.gone)
		_ = pa.near.Close()
		_ = pa.far.Close()
	})
}

// run returns when both directions have ended.
func (pa *pair) run() {
	var wg sync.WaitGroup
	for _, way := range [][2]net.Conn{{pa.near, pa.far}, {pa.far, pa.near}} {
		queue := make(chan piece, pieces)
		wg.Go(func() { pa.read(way[0], queue) })
		wg.Go(func() { pa.write(way[1], queue) })
	}
	wg.Wait()
}

// muted waits for the cut if the pair is silent.
func (pa *pair) muted() bool {
	select {
	case <-pa.silent:
		<-pa.gone
		return true
	default:
		return false
	}
}

func (pa *pair) read(src net.Conn, queue chan<- piece) {
	defer close(queue)
	for {
		buf := make([]byte, pieceBytes)
		n, err := src.Read(buf)
		if pa.muted() {
			return
		}
		if err != nil && !errors.Is(err, io.EOF) {
			pa.cut() // a reset passes as a cut, an end as an end
			return
		}
		pi := piece{data: buf[:n], due: pa.re.clk.Now().Add(time.Duration(pa.re.delay.Load()))}
		select {
		case queue <- pi:
		case <-pa.gone:
			return
		}
		if err != nil {
			return
		}
	}
}

func (pa *pair) write(dst net.Conn, queue <-chan piece) {
	for pi := range queue {
		if !pa.wait(pi.due) || pa.muted() {
			return
		}
		if len(pi.data) == 0 {
			if half, ok := dst.(interface{ CloseWrite() error }); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if !pa.pass(dst, pi.data) {
			return
		}
	}
}

// pass writes data within the budget and cuts the pair at its end.
func (pa *pair) pass(dst net.Conn, data []byte) bool {
	budget := pa.re.budget.Load()
	before := pa.passed.Add(int64(len(data))) - int64(len(data))
	over := budget > 0 && before+int64(len(data)) >= budget
	if over {
		data = data[:max(0, budget-before)]
	}
	if _, err := dst.Write(data); err != nil || over {
		pa.cut()
		return false
	}
	return true
}

// wait returns false if the pair was cut before due.
func (pa *pair) wait(due time.Time) bool {
	left := due.Sub(pa.re.clk.Now())
	if left <= 0 {
		return true
	}
	timer := pa.re.clk.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-pa.gone:
		return false
	}
}
