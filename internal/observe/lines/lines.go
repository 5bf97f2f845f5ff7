// Package lines writes structured log lines without ever blocking their
// callers. A writer that falls behind, or a kind of line that comes too often,
// costs lines, which are counted and told.
package lines

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

const (
	// waiting is the number of lines between the callers and the writer.
	waiting = 4096
	// perKind is the number of lines of one message a second. A process has
	// some hundred requests a second.
	perKind = 400
	// maxKinds bounds the messages that are counted apart. They are constants of the program.
	maxKinds = 256
	// tellEvery is how often lost lines are told.
	tellEvery = time.Second
)

// Writer takes the lines.
type Writer struct {
	clk   citronstream.Clock
	out   io.Writer
	lines chan string
	lost  atomic.Uint64
	done  chan struct{}

	mu     sync.Mutex
	second int64
	kinds  map[string]int
}

// New starts a writer that ends with ctx, after it has written what waits.
func New(ctx context.Context, clk citronstream.Clock, out io.Writer) *Writer {
	wr := &Writer{clk: clk, out: out, lines: make(chan string, waiting), done: make(chan struct{}), kinds: make(map[string]int)}
	go wr.run(ctx)
	return wr
}

// Logger returns a logger of JSON lines with the time and these values on each.
func (wr *Writer) Logger(values ...any) logr.Logger {
	sink := funcr.NewJSON(wr.put, funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return logr.New(&limited{LogSink: sink.GetSink(), wr: wr}).WithValues(values...)
}

// Done is closed when the writer has ended.
func (wr *Writer) Done() <-chan struct{} { return wr.done }

// Lost returns the lines that were not written.
func (wr *Writer) Lost() uint64 { return wr.lost.Load() }

func (wr *Writer) put(line string) {
	select {
	case wr.lines <- line:
	default:
		wr.lost.Add(1)
	}
}

// allow counts a line of a kind against its rate.
func (wr *Writer) allow(kind string) bool {
	second := wr.clk.Now().Unix()
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if second != wr.second {
		wr.second = second
		clear(wr.kinds)
	}
	if len(wr.kinds) >= maxKinds {
		kind = ""
	}
	wr.kinds[kind]++
	if wr.kinds[kind] > perKind {
		wr.lost.Add(1)
		return false
	}
	return true
}

func (wr *Writer) run(ctx context.Context) {
	defer close(wr.done)
	ticker := wr.clk.NewTicker(tellEvery)
	defer ticker.Stop()
	told := uint64(0)
	log := wr.Logger()
	for {
		select {
		case line := <-wr.lines:
			wr.write(line)
		case <-ticker.Chan():
			if lost := wr.lost.Load(); lost > told {
				told = lost
				log.Info("log lines lost", "total", lost)
			}
		case <-ctx.Done():
			wr.rest()
			return
		}
	}
}

// rest writes what still waits.
func (wr *Writer) rest() {
	for {
		select {
		case line := <-wr.lines:
			wr.write(line)
		default:
			return
		}
	}
}

// write writes a line. There is nowhere to report that the log can't be written.
func (wr *Writer) write(line string) { _, _ = io.WriteString(wr.out, line+"\n") }

// limited is a sink that applies the rate.
type limited struct {
	logr.LogSink
	wr *Writer
}

// Info implements logr.LogSink.
func (li *limited) Info(level int, text string, values ...any) {
	if li.wr.allow(text) {
		li.LogSink.Info(level, text, values...)
	}
}

// Error implements logr.LogSink.
func (li *limited) Error(err error, text string, values ...any) {
	if li.wr.allow(text) {
		li.LogSink.Error(err, text, values...)
	}
}

// WithValues implements logr.LogSink.
func (li *limited) WithValues(values ...any) logr.LogSink {
	return &limited{LogSink: li.LogSink.WithValues(values...), wr: li.wr}
}

// WithName implements logr.LogSink.
func (li *limited) WithName(name string) logr.LogSink {
	return &limited{LogSink: li.LogSink.WithName(name), wr: li.wr}
}
