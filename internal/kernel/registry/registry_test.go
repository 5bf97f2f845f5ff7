package registry

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRegistry(t *testing.T) {
	re := New[int]("number")
	re.Register("two", 2)
	re.Register("one", 1)
	t.Run("known name", func(t *testing.T) {
		got, err := re.Get("two")
		require.NoError(t, err)
		assert.Equal(t, 2, got)
	})
	// The error for a wrong setting must list the valid names.
	t.Run("unknown name lists the known ones", func(t *testing.T) {
		_, err := re.Get("three")
		assert.EqualError(t, err, `unknown number "three", known: one, two`)
	})
	t.Run("second registration panics", func(t *testing.T) {
		assert.Panics(t, func() { re.Register("one", 3) })
	})
}
