package sse

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEvents(t *testing.T) {
	re := New(strings.NewReader("id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\n"))
	for _, want := range []Reader{
		{Event: []byte("id: 1\ndata: a\n\n"), ID: 1, Data: true},
		{Event: []byte(": comment\n\n")},
		{Event: []byte("id:2\r\ndata: b\r\n\r\n"), ID: 2, Data: true},
	} {
		require.NoError(t, re.Next())
		assert.Equal(t, string(want.Event), string(re.Event))
		assert.Equal(t, want.ID, re.ID)
		assert.Equal(t, want.Data, re.Data)
	}
	assert.ErrorIs(t, re.Next(), io.EOF)
	assert.ErrorIs(t, New(strings.NewReader("id: 1\ndata")).Next(), errPartialEvent)
	for _, id := range []string{"one", "-1", "9223372036854775808"} {
		assert.Error(t, New(strings.NewReader("id: "+id+"\n\n")).Next(), id)
	}
}

// endless repeats a text for ever and counts what was read of it.
type endless struct {
	text []byte
	read int
}

func (en *endless) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = en.text[(en.read+i)%len(en.text)]
	}
	en.read += len(data)
	return len(data), nil
}

// An event without end is cut off, whatever its lines look like.
func TestEventWithoutEnd(t *testing.T) {
	for _, text := range []string{"a", "data: x\n", ":\n", "id: 1\r\n", strings.Repeat("x", 5000) + "\n"} {
		t.Run(fmt.Sprintf("%.10q", text), func(t *testing.T) {
			en := &endless{text: []byte(text)}
			assert.ErrorIs(t, New(en).Next(), errTooLarge)
			assert.Less(t, en.read, 2*maxEvent)
		})
	}
}

// Long lines and lines that end at the buffer's end are read whole.
func TestLongLines(t *testing.T) {
	for _, size := range []int{4090, 4095, 4096, 4097, 8192, 100000} {
		text := "id: 7\ndata: " + strings.Repeat("x", size) + "\n\n"
		re := New(strings.NewReader(text))
		require.NoError(t, re.Next())
		assert.Equal(t, text, string(re.Event))
		assert.Equal(t, int64(7), re.ID)
	}
}

// No input makes the reader panic, keep more than its limit, or lose bytes.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: c\n\nid:2\r\n\r\n"))
	f.Add([]byte("id:-9223372036854775808\n\n\n\r\n\r"))
	f.Fuzz(func(t *testing.T, input []byte) {
		re, all := New(bytes.NewReader(input)), []byte(nil)
		for {
			err := re.Next()
			all = append(all, re.Event...)
			if err != nil {
				if errors.Is(err, io.EOF) || errors.Is(err, errPartialEvent) {
					assert.Equal(t, len(input), len(all))
				}
				break
			}
		}
		assert.True(t, bytes.HasPrefix(input, all))
	})
}

// Guards against memory for events that is taken without being reserved, and against a
// stream that goes on without it.
func TestReserve(t *testing.T) {
	held, most := 0, 64<<10
	reserve := func(bytes int) bool {
		if held+bytes > most {
			return false
		}
		held += bytes
		return true
	}
	event := func(bytes int) string { return "data: " + strings.Repeat("x", bytes) + "\n\n" }
	re := New(strings.NewReader(event(10)+event(20_000)+event(10)+event(100_000)+event(10)), WithReserve(reserve))
	for range 3 {
		require.NoError(t, re.Next())
		assert.Equal(t, readBytes+cap(re.Event), held)
	}
	require.ErrorIs(t, re.Next(), ErrNoMemory)
	assert.LessOrEqual(t, held, most)
	most = 0
	assert.ErrorIs(t, New(strings.NewReader(event(10)), WithReserve(reserve)).Next(), ErrNoMemory)
}
