package agents

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
)

// flight is an attempt whose answer has not come yet. It accepts the chunks
// of its own attempt in sequence; all others are dropped and counted.
type flight struct {
	mu   sync.Mutex
	next int // sequence number of the next chunk
	have int // bytes accepted
	sum  *xxhash.Digest
	sink func([]byte)
	over bool
}

func newFlight(sink func([]byte)) *flight { return &flight{sum: xxhash.New(), sink: sink} }

// chunk takes a part of the answer. It returns false if the part was out of
// sequence or late.
func (fl *flight) chunk(ch citronstream.Chunk) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.over || ch.Seq != fl.next {
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

// position returns what a query must tell the agent.
func (fl *flight) position() (have, next int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.have, fl.next
}

// close ends the flight: later chunks are refused.
func (fl *flight) close() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.over = true
}

// whole says whether the answer is complete and unchanged.
func (fl *flight) whole(ca *citronstream.Call, re *citronstream.Result) bool {
	if !ca.Streams {
		return re.Length == len(re.Body) && re.Checksum == citronstream.Digest(re.Body)
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return re.Length == fl.have && re.Checksum == fl.sum.Sum64()
}
