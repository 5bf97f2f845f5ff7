// Package sse reads streams of events (text/event-stream) as upstreams send them.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent is the largest size of one event in bytes. An event holds a few
// tokens; a faulty upstream may send lines without the end of an event.
const maxEvent = 256 << 10

const (
	// readBytes is the size of the buffer that is read into, minEvent the least size of that
	// of an event, which doubles.
	readBytes = 4 << 10
	minEvent  = 512
)

var (
	// errPartialEvent is the error of a stream that ends within an event.
	errPartialEvent = errors.New("stream ended within an event")
	errTooLarge     = errors.New("event exceeds the size limit")
	errNegative     = errors.New("negative identifier of an event")
	// ErrNoMemory is the error of an event for which the function of WithReserve has no memory.
	ErrNoMemory = errors.New("no memory is left for the events of the stream")
)

// Reader splits a stream into whole events.
type Reader struct {
	// Event is the last event that Next has read, with the empty line that ends
	// it. It is valid until the next call.
	Event []byte
	// ID is its identifier, 0 if it has none.
	ID int64
	// Data says that it has data: comments and empty events have none.
	Data bool

	rd      io.Reader
	br      *bufio.Reader // nil before the first event
	reserve func(bytes int) bool
}

// Option changes a Reader.
type Option func(*Reader)

// WithReserve sets a function that is called before memory is allocated. If it returns
// false, the stream ends with ErrNoMemory.
func WithReserve(reserve func(bytes int) bool) Option {
	return func(re *Reader) { re.reserve = reserve }
}

// New returns a Reader of a stream.
func New(rd io.Reader, opts ...Option) *Reader {
	re := &Reader{rd: rd, reserve: func(int) bool { return true }}
	for _, opt := range opts {
		opt(re)
	}
	return re
}

// Next reads the next event. It returns io.EOF only between two events.
func (re *Reader) Next() error {
	re.Event, re.ID, re.Data = re.Event[:0], 0, false
	if re.br == nil {
		if !re.reserve(readBytes) {
			return ErrNoMemory
		}
		re.br = bufio.NewReaderSize(re.rd, readBytes)
	}
	for begin := 0; ; {
		part, err := re.br.ReadSlice('\n')
		if !re.grow(len(re.Event) + len(part)) {
			return ErrNoMemory
		}
		re.Event = append(re.Event, part...)
		switch {
		case len(re.Event) > maxEvent:
			return errTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(re.Event) > 0:
			return errPartialEvent
		case err != nil:
			return err
		}
		line := bytes.TrimRight(re.Event[begin:], "\r\n")
		begin = len(re.Event)
		if len(line) == 0 {
			return nil
		}
		if err := re.field(line); err != nil {
			return err
		}
	}
}

// grow makes room for an event of a length.
func (re *Reader) grow(length int) bool {
	if length <= cap(re.Event) {
		return true
	}
	size := max(length, 2*cap(re.Event), minEvent)
	if !re.reserve(size - cap(re.Event)) {
		return false
	}
	re.Event = append(make([]byte, 0, size), re.Event...)
	return true
}

// field reads one line of an event.
func (re *Reader) field(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data":
		re.Data = true
	case "id":
		var err error
		if re.ID, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && re.ID < 0 {
			err = errNegative
		}
		return err
	}
	return nil
}
