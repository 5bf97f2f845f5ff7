// Package bodybudget bounds the memory for the bodies of answers that a process
// buffers at the same time.
package bodybudget

import (
	"errors"
	"io"
	"sync"

	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

const (
	// defaultTotal leaves the smallest machines, which have 184 MB, enough for the rest
	// of the process and for the garbage of two collections.
	defaultTotal = 32 << 20
	// memoryShare is the inverse of the share that all bodies may have of the memory for
	// callers.
	memoryShare = 3
	// freeBytes of each body do not count, so that large bodies do not crowd out small ones.
	freeBytes = 32 << 10
	minChunk  = 512
	maxChunk  = 64 << 10
)

var (
	// ErrFull is the error of a body for which there is no memory at present.
	ErrFull = errors.New("no memory left for the bodies of answers")
	// ErrTooLarge is the error of a body over the limit that was passed to Read.
	ErrTooLarge = errors.New("body exceeds the size limit")
)

// Budget is the memory for the bodies of all requests.
type Budget struct {
	total  int
	memory *callermemory.Account

	mu   sync.Mutex
	used int
}

// Option changes a Budget.
type Option func(*Budget)

// WithTotal sets the bytes of all bodies together.
func WithTotal(bytes int) Option { return func(bu *Budget) { bu.total = bytes } }

// WithMemory also accounts the bodies, with all of their bytes, in the memory of the
// process for its callers. If that is bounded, so is their part of it.
func WithMemory(memory *callermemory.Account) Option {
	return func(bu *Budget) {
		bu.memory = memory
		if total := memory.Total(); total > 0 {
			bu.total = min(bu.total, total/memoryShare)
		}
	}
}

// New returns a Budget.
func New(opts ...Option) *Budget {
	bu := &Budget{total: defaultTotal}
	for _, opt := range opts {
		opt(bu)
	}
	return bu
}

// Used returns the bytes that count at present.
func (bu *Budget) Used() int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.used
}

// take lets a body grow to a size if no less than that size is then left. Endless
// bodies are thus given up while there is room for others.
func (bu *Budget) take(from, to int) bool {
	counted := max(0, to-freeBytes) - max(0, from-freeBytes)
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if counted > 0 && to > bu.total-bu.used-counted {
		return false
	}
	bu.used += counted
	return true
}

func (bu *Budget) giveBack(counted int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.used -= counted
}

// Account counts the bodies of one request.
type Account struct {
	budget *Budget
	memory *callermemory.Holder

	mu   sync.Mutex
	used int
}

// Open returns an Account without bodies. The caller closes it when it no longer uses
// any of its bodies.
func (bu *Budget) Open() *Account { return &Account{budget: bu, memory: bu.memory.Open()} }

// Close gives back the memory of all bodies.
func (ac *Account) Close() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.budget.giveBack(ac.used)
	ac.used = 0
	ac.memory.Close()
}

// Read reads a whole body of at most limit bytes. Its error is ErrFull, ErrTooLarge or that
// of the reader.
func (ac *Account) Read(rd io.Reader, limit int) (body [][]byte, err error) {
	size, length := 0, 0 // allocated, read
	for {
		grow := min(max(size, minChunk), maxChunk)
		if !ac.budget.take(size, size+grow) {
			err = ErrFull
			break
		}
		if !ac.memory.Take(grow, callermemory.Answer) {
			ac.budget.giveBack(max(0, size+grow-freeBytes) - max(0, size-freeBytes))
			err = ErrFull
			break
		}
		size += grow
		var chunk []byte
		chunk, err = fill(rd, make([]byte, grow))
		body, length = append(body, chunk), length+len(chunk)
		if length > limit {
			err = ErrTooLarge
		}
		if err != nil {
			break
		}
	}
	counted := max(0, size-freeBytes)
	if !errors.Is(err, io.EOF) {
		ac.budget.giveBack(counted)
		ac.memory.Give(size)
		return nil, err
	}
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.used += counted
	return body, nil
}

// fill reads until the chunk is full or the reader fails. io.ReadFull would hide whether
// the reader's own error was io.EOF.
func fill(rd io.Reader, chunk []byte) ([]byte, error) {
	length := 0
	for length < len(chunk) {
		count, err := rd.Read(chunk[length:])
		length += count
		if err != nil {
			return chunk[:length], err
		}
	}
	return chunk, nil
}
