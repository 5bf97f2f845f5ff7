package server

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

// A delayed request must not run after a later one with its key was refused
// as not run.
func TestFences(t *testing.T) {
	start := time.Unix(1000, 0)
	call := func(second int) *citronstream.Call {
		return &citronstream.Call{Workspace: "w", Key: "k", RequestAt: start.Add(time.Duration(second) * time.Second)}
	}
	t.Run("earlier requests are barred, later ones are not", func(t *testing.T) {
		var fe fences
		fe.put(call(5), start)
		assert.True(t, fe.bars(call(4)))
		assert.False(t, fe.bars(call(5)))
		assert.False(t, fe.bars(call(6)))
	})
	t.Run("a fence that was taken back bars nothing", func(t *testing.T) {
		var fe fences
		fe.put(call(5), start)()
		assert.False(t, fe.bars(call(4)))
	})
	t.Run("an earlier refusal does not lower the fence", func(t *testing.T) {
		var fe fences
		fe.put(call(5), start)
		fe.put(call(3), start)()
		assert.True(t, fe.bars(call(4)))
	})
	t.Run("old fences are dropped", func(t *testing.T) {
		var fe fences
		fe.put(call(5), start)
		other := call(5)
		other.Key = "other"
		fe.put(other, start.Add(fenceFor+time.Second))
		assert.Equal(t, 1, fe.size())
	})
}
