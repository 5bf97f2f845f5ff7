// Package asynclog writes structured log lines without ever blocking the caller.
// Lines are dropped when the writer falls behind or one message exceeds its
// rate; the number of dropped lines is logged.
package asynclog

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
	// queueSize is the number of lines that can wait for the writer.
	queueSize = 4096
	// maxPerSecond bounds the lines of one message a second. A process serves
	// some hundred requests a second.
	maxPerSecond = 400
	// maxMessages bounds the messages with a rate of their own. Messages are
	// constants of the program.
	maxMessages = 256
	// reportInterval is how often dropped lines are logged.
	reportInterval = time.Second
)

// Writer queues log lines and writes them in the background.
type Writer struct {
	clk   citronstream.Clock
	out   io.Writer
	lines chan string
	lost  atomic.Uint64
	done  chan struct{}

	mu     sync.Mutex
	second int64
	counts map[string]int
}

// New starts a writer. When ctx ends it writes the queued lines and stops.
func New(ctx context.Context, clk citronstream.Clock, out io.Writer) *Writer {
	wr := &Writer{clk: clk, out: out, lines: make(chan string, queueSize), done: make(chan struct{}), counts: make(map[string]int)}
	go wr.run(ctx)
	return wr
}

// Logger returns a logger of JSON lines, each with its time and these values.
func (wr *Writer) Logger(values ...any) logr.Logger {
	sink := funcr.NewJSON(wr.put, funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return logr.New(&rateLimited{LogSink: sink.GetSink(), wr: wr}).WithValues(values...)
}

// Done returns a channel that is closed when the writer has stopped.
func (wr *Writer) Done() <-chan struct{} { return wr.done }

// Lost returns the number of dropped lines.
func (wr *Writer) Lost() uint64 { return wr.lost.Load() }

func (wr *Writer) put(line string) {
	select {
	case wr.lines <- line:
	default:
		wr.lost.Add(1)
	}
}

// allow reports whether a line of this message is within its rate, and counts it.
func (wr *Writer) allow(message string) bool {
	second := wr.clk.Now().Unix()
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if second != wr.second {
		wr.second = second
		clear(wr.counts)
	}
	if len(wr.counts) >= maxMessages {
		message = ""
	}
	wr.counts[message]++
	if wr.counts[message] > maxPerSecond {
		wr.lost.Add(1)
		return false
	}
	return true
}

func (wr *Writer) run(ctx context.Context) {
	defer close(wr.done)
	ticker := wr.clk.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := uint64(0)
	log := wr.Logger()
	for {
		select {
		case line := <-wr.lines:
			wr.write(line)
		case <-ticker.Chan():
			if lost := wr.lost.Load(); lost > reported {
				reported = lost
				log.Info("log lines lost", "total", lost)
			}
		case <-ctx.Done():
			wr.drain()
			return
		}
	}
}

// drain writes the lines that are still queued.
func (wr *Writer) drain() {
	for {
		select {
		case line := <-wr.lines:
			wr.write(line)
		default:
			return
		}
	}
}

// write writes a line. It ignores errors, because there is nowhere to report
// that the log can't be written.
func (wr *Writer) write(line string) { _, _ = io.WriteString(wr.out, line+"\n") }

// rateLimited is a sink that drops lines above the rate of their message.
type rateLimited struct {
	logr.LogSink
	wr *Writer
}

// Info implements logr.LogSink.
func (li *rateLimited) Info(level int, text string, values ...any) {
	if li.wr.allow(text) {
		li.LogSink.Info(level, text, values...)
	}
}

// Error implements logr.LogSink.
func (li *rateLimited) Error(err error, text string, values ...any) {
	if li.wr.allow(text) {
		li.LogSink.Error(err, text, values...)
	}
}

// WithValues implements logr.LogSink.
func (li *rateLimited) WithValues(values ...any) logr.LogSink {
	return &rateLimited{LogSink: li.LogSink.WithValues(values...), wr: li.wr}
}

// WithName implements logr.LogSink.
func (li *rateLimited) WithName(name string) logr.LogSink {
	return &rateLimited{LogSink: li.LogSink.WithName(name), wr: li.wr}
}
