package agents

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
)

// flight is an attempt without a result yet. It accepts the chunks of its attempt
// in sequence; all others are dropped and counted.
type flight struct {
	mu     sync.Mutex
	next   int // sequence number of the next chunk
	have   int // bytes accepted
	sum    *xxhash.Digest
	sink   func([]byte)
	closed bool
}

func newFlight(sink func([]byte)) *flight { return &flight{sum: xxhash.New(), sink: sink} }

// chunk accepts a part of the answer. It returns false if the part is out of
// sequence or the flight has ended.
func (fl *flight) chunk(ch citronstream.Chunk) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.closed || ch.Seq != fl.next {
		return false
	}
	fl.next++
	fl.have += len(ch.Data)
	_, _ = fl.sum.Write(ch.Data)
	if fl.sink != nil {
		fl.sink(ch.Data)
	}
	return true
}

// position returns the bytes accepted and the next sequence number, for a query.
func (fl *flight) position() (have, next int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.have, fl.next
}

// close ends the flight. Later chunks are refused.
func (fl *flight) close() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.closed = true
}

// complete reports whether the answer has the length and checksum of the result.
func (fl *flight) complete(ca *citronstream.Call, re *citronstream.Result) bool {
	if !ca.Streams {
		return re.Length == len(re.Body) && re.Checksum == citronstream.Digest(re.Body)
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return re.Length == fl.have && re.Checksum == fl.sum.Sum64()
}
