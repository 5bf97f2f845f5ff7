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

var (
	// errPartialEvent is the error of a stream that ends within an event.
	errPartialEvent = errors.New("stream ended within an event")
	errTooLarge     = errors.New("event exceeds the size limit")
	errNegative     = errors.New("negative identifier of an event")
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

	br *bufio.Reader
}

// New returns a Reader of a stream.
func New(rd io.Reader) *Reader { return &Reader{br: bufio.NewReader(rd)} }

// Next reads the next event. It returns io.EOF only between two events.
func (re *Reader) Next() error {
	re.Event, re.ID, re.Data = re.Event[:0], 0, false
	for begin := 0; ; {
		part, err := re.br.ReadSlice('\n')
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
