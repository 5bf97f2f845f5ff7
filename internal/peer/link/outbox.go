package link

import (
	"sync"
	"sync/atomic"
)

// Class orders the messages that wait because the connection takes no more bytes.
type Class uint8

// Classes of messages.
const (
	Ordinary Class = iota
	// First goes before all others.
	First
	// Latest goes after all others, and only the newest message of a method is kept: each
	// tells a state that the next one replaces.
	Latest
)

// maxWaiting bounds the bytes that wait for a slow peer, as nbconn.MaxOutbound does.
const maxWaiting = 16 << 20

// Paced is a Stream that tells how much of what was written has not been sent.
type Paced interface {
	Stream
	// Queued returns the number of bytes that wait in the process for the connection.
	Queued() int
	// OnDrained sets the function that is called when none waits any more, or the stream has
	// ended. It must not block.
	OnDrained(drained func())
}

// frame is an encoded message that waits.
type frame struct {
	method string
	data   []byte
}

// outbox orders the messages of a link while its connection is saturated. The codec passes
// each message on with one call of write.
type outbox struct {
	stream   Paced
	replaced *atomic.Uint64 // counts messages that a newer one has replaced
	drained  chan struct{}
	mu       sync.Mutex
	waiting  [Latest + 1][]frame
	bytes    int
	sending  bool // the goroutine of send runs
	ended    error
}

func newOutbox(stream Paced, replaced *atomic.Uint64) *outbox {
	ob := &outbox{stream: stream, replaced: replaced, drained: make(chan struct{}, 1)}
	stream.OnDrained(func() {
		select {
		case ob.drained <- struct{}{}:
		default:
		}
	})
	return ob
}

// write sends a message or keeps a copy of it until the connection takes it.
func (ob *outbox) write(class Class, method string, data []byte) error {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if ob.ended != nil {
		return ob.ended
	}
	if !ob.sending && ob.stream.Queued() == 0 {
		_, err := ob.stream.Write(data)
		return err
	}
	fr := frame{method: method, data: append([]byte(nil), data...)}
	if !ob.replace(class, fr) {
		if ob.bytes+len(data) > maxWaiting {
			return errTooLarge
		}
		ob.waiting[class] = append(ob.waiting[class], fr)
		ob.bytes += len(data)
	}
	if !ob.sending {
		ob.sending = true
		go ob.send()
	}
	return nil
}

// replace puts a message in the place of an older one of its method, and reports whether
// there was one. The caller holds the lock.
func (ob *outbox) replace(class Class, fr frame) bool {
	if class != Latest {
		return false
	}
	for i, older := range ob.waiting[Latest] {
		if older.method == fr.method {
			ob.replaced.Add(1)
			ob.bytes += len(fr.data) - len(older.data)
			ob.waiting[Latest][i] = fr
			return true
		}
	}
	return false
}

// next removes the message to be sent next; the result is false when none waits. The caller
// holds the lock.
func (ob *outbox) next() (frame, bool) {
	for _, class := range []Class{First, Ordinary, Latest} {
		if waiting := ob.waiting[class]; len(waiting) > 0 {
			fr := waiting[0]
			waiting[0] = frame{}
			if ob.waiting[class] = waiting[1:]; len(waiting) == 1 {
				ob.waiting[class] = nil
			}
			ob.bytes -= len(fr.data)
			return fr, true
		}
	}
	return frame{}, false
}

// send writes the messages that wait, each when the connection has taken the one before. It
// ends when none is left or the stream has ended.
func (ob *outbox) send() {
	for ob.step() {
		<-ob.drained
	}
}

// step writes messages until the connection takes no more. It returns false when none is
// left or the stream has ended.
func (ob *outbox) step() bool {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	for ob.stream.Queued() == 0 {
		fr, some := ob.next()
		if !some {
			ob.sending = false
			return false
		}
		if _, err := ob.stream.Write(fr.data); err != nil {
			ob.ended, ob.sending, ob.waiting, ob.bytes = err, false, [Latest + 1][]frame{}, 0
			return false
		}
	}
	return true
}
