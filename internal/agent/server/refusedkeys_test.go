package server

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

// TestRefusedKeys guards against a delayed request that runs after a later one
// with the same key was refused with NotRun.
func TestRefusedKeys(t *testing.T) {
	start := time.Unix(1000, 0)
	call := func(second int) *citronstream.Call {
		return &citronstream.Call{Workspace: "w", Key: "k", RequestAt: start.Add(time.Duration(second) * time.Second)}
	}
	t.Run("earlier requests are rejected, later ones are not", func(t *testing.T) {
		var rk refusedKeys
		rk.add(call(5), start)
		assert.True(t, rk.rejects(call(4)))
		assert.False(t, rk.rejects(call(5)))
		assert.False(t, rk.rejects(call(6)))
	})
	t.Run("a removed refusal rejects nothing", func(t *testing.T) {
		var rk refusedKeys
		rk.add(call(5), start)()
		assert.False(t, rk.rejects(call(4)))
	})
	t.Run("an earlier refusal does not replace a later one", func(t *testing.T) {
		var rk refusedKeys
		rk.add(call(5), start)
		rk.add(call(3), start)()
		assert.True(t, rk.rejects(call(4)))
	})
	t.Run("expired refusals are dropped", func(t *testing.T) {
		var rk refusedKeys
		rk.add(call(5), start)
		other := call(5)
		other.Key = "other"
		rk.add(other, start.Add(refusedKeyTTL+time.Second))
		assert.Equal(t, 1, rk.size())
	})
}
