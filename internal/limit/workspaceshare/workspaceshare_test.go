package workspaceshare

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a workspace that queues much and is not told from one that queues little.
func TestAhead(t *testing.T) {
	sh := New()
	for range 10 {
		sh.Queue(Kind{}, "large", 2)
	}
	assert.Equal(t, 20, sh.Queue(Kind{}, "large", 2))
	assert.Zero(t, sh.Queue(Kind{}, "small", 2))
	assert.Zero(t, sh.Queue(Kind{RouteRank: 1}, "large", 2), "of another kind")
}

// Guards against a workspace that pays for what it queued long ago, or saves up what it did
// not use.
func TestNoSavings(t *testing.T) {
	sh := New()
	first := sh.Queue(Kind{}, "a", 5)
	sh.Begin(Kind{}, first)
	sh.Begin(Kind{}, sh.Queue(Kind{}, "a", 5))
	assert.Equal(t, 5, sh.Queue(Kind{}, "b", 5), "begins where the work is")
}

// Guards against a workspace that pays for work that was dropped.
func TestDropped(t *testing.T) {
	sh := New()
	sh.Queue(Kind{}, "a", 5)
	sh.Drop(Kind{}, "a", 5)
	sh.Drop(Kind{}, "unknown", 5)
	sh.Drop(Kind{Rank: 3}, "a", 5)
	assert.Zero(t, sh.Queue(Kind{}, "a", 1))
	assert.Zero(t, sh.Queue(Kind{}, "unknown", 1))
}

// Guards against memory that grows with the names of workspaces.
func TestBounded(t *testing.T) {
	sh := New()
	for i := range 3 * maxWorkspaces {
		sh.Queue(Kind{}, fmt.Sprint(i), 1)
	}
	assert.LessOrEqual(t, len(sh.kinds[Kind{}].next), maxWorkspaces)
	assert.Equal(t, 1, sh.Queue(Kind{}, fmt.Sprint(3*maxWorkspaces-1), 1), "the newest are kept")
}

// Guards against memory that grows with the ranks that peers name.
func TestKindsAreBounded(t *testing.T) {
	sh := New()
	for i := range 3 * maxKinds {
		sh.Queue(Kind{Rank: i}, "a", 1)
	}
	assert.LessOrEqual(t, len(sh.kinds), maxKinds)
}
