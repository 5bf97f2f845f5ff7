package snapshot

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// table keeps one row and counts its writes.
type table struct {
	citronstream.Table
	value  []byte
	writes int
	err    error
}

func (ta *table) Get(context.Context, string) (citronstream.Row, error) {
	return citronstream.Row{Key: Key, Value: ta.value}, ta.err
}

func (ta *table) Write(_ context.Context, _ string, ops ...citronstream.Op) error {
	ta.writes++
	if ta.err == nil {
		ta.value = ops[0].Value
	}
	return ta.err
}

func members(count int) []citronstream.Member {
	list := make([]citronstream.Member, count)
	for i := range list {
		list[i] = citronstream.Member{ID: fmt.Sprintf("i-%08x", i*2654435761), Service: "pool", Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), Zone: "z", Slots: 64, StartedMs: 1780000000000 + int64(i)}
	}
	return list
}

func newSnapshot(ta *table, list *[]citronstream.Member) *Snapshot {
	return New(clockwork.NewFakeClock(), logr.Discard(), ta, func() []citronstream.Member { return append([]citronstream.Member(nil), *list...) }, func() bool { return true })
}

// Guards against a write for each heartbeat, which are billed, and against a change that is
// not written.
func TestWrittenWhenTheListChanges(t *testing.T) {
	ta, list := &table{}, members(3)
	sn := newSnapshot(ta, &list)
	sn.write(t.Context())
	list[0], list[2] = list[2], list[0]
	list[1].Revision, list[1].Cold = 9, 1
	sn.write(t.Context())
	assert.Equal(t, 1, ta.writes, "the same upstreams")
	list = append(list, members(4)[3])
	sn.write(t.Context())
	assert.Equal(t, 2, ta.writes)
	read, err := sn.Read(t.Context())
	require.NoError(t, err)
	assert.ElementsMatch(t, members(4), read)
}

// Guards against a list that is taken for written though the store has refused it, and
// against an empty one that replaces it at the start of a process.
func TestFailedWriteIsRepeated(t *testing.T) {
	ta, list := &table{err: errors.New("refused")}, members(3)
	sn := newSnapshot(ta, &list)
	sn.write(t.Context())
	ta.err = nil
	sn.write(t.Context())
	assert.Equal(t, 2, ta.writes)
	list = nil
	sn.write(t.Context())
	assert.Equal(t, 2, ta.writes)
}

// Guards against a value that the store refuses for its size at the largest site.
func TestSizeAtFullSize(t *testing.T) {
	ta, list := &table{}, members(1700)
	newSnapshot(ta, &list).write(t.Context())
	assert.LessOrEqual(t, len(ta.value), maxBytes)
	assert.Equal(t, 1, ta.writes)
}

// Guards against a row of another writer that ends the process.
func TestMalformedRow(t *testing.T) {
	list := members(1)
	for _, value := range []string{"", "text", "\x1f\x8b\x08\x00\x00\x00\x00\x00"} {
		_, err := newSnapshot(&table{value: []byte(value)}, &list).Read(t.Context())
		assert.Error(t, err)
	}
}

// Guards against a list that the store has lost and that is not written again until it changes.
func TestLostRowIsWrittenAgain(t *testing.T) {
	ta, list := &table{}, members(3)
	sn := newSnapshot(ta, &list)
	sn.write(t.Context())
	sn.Renew()
	sn.write(t.Context())
	sn.write(t.Context())
	assert.Equal(t, 2, ta.writes)
}
