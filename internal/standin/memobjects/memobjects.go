// Package memobjects simulates the platform's object store in memory.
package memobjects

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/citronstream/citronstream"
)

// Store implements citronstream.Objects.
type Store struct {
	down atomic.Bool
	mu   sync.Mutex
	byID map[string][]byte
}

// New returns an empty store.
func New() *Store { return &Store{byID: make(map[string][]byte)} }

// SetDown makes every call fail with ErrUnavailable.
func (st *Store) SetDown(down bool) { st.down.Store(down) }

// Put implements citronstream.Objects.
func (st *Store) Put(ctx context.Context, key string, body []byte) error {
	if st.down.Load() {
		return citronstream.ErrUnavailable
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.byID[key] = slices.Clone(body)
	return ctx.Err()
}

// Get implements citronstream.Objects.
func (st *Store) Get(ctx context.Context, key string) ([]byte, error) {
	if st.down.Load() {
		return nil, citronstream.ErrUnavailable
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	body, ok := st.byID[key]
	if !ok {
		return nil, citronstream.ErrNotFound
	}
	return slices.Clone(body), ctx.Err()
}
