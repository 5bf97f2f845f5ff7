package poison

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

// Guards against parts that no message has, and against messages without a bound.
func TestSplit(t *testing.T) {
	re := Report{ID: "death", Upstream: "u", At: time.Unix(1, 0), Running: []uint64{1, 2, 3}, Age: time.Second, Requests: []citronstream.SuspectRequest{
		{Digest: 1, Parts: []uint64{10, 11, 12, 13, 14}}, {Digest: 2, Parts: []uint64{20}}, {Digest: 3, Parts: []uint64{30, 31}, First: 4},
	}}
	t.Run("several messages", func(t *testing.T) {
		messages := re.Split(3)
		assert.Len(t, messages, 3)
		var rest []Report
		for i, message := range messages {
			assert.Equal(t, i > 0, message.Rest)
			assert.Equal(t, re.ID, message.ID)
			assert.Equal(t, re.Age, message.Age)
			if i > 0 {
				assert.Empty(t, message.Running)
			}
			rest = append(rest, message)
		}
		assert.Equal(t, re.Running, messages[0].Running)
		assert.Equal(t, []citronstream.SuspectRequest{{Digest: 1, Parts: []uint64{10, 11, 12}}}, rest[0].Requests)
		assert.Equal(t, []citronstream.SuspectRequest{{Digest: 1, Parts: []uint64{13, 14}, First: 3}, {Digest: 2, Parts: []uint64{20}}}, rest[1].Requests)
		assert.Equal(t, []citronstream.SuspectRequest{{Digest: 3, Parts: []uint64{30, 31}, First: 4}}, rest[2].Requests)
	})
	t.Run("one message", func(t *testing.T) { assert.Equal(t, []Report{re}, re.Split(8)) })
	t.Run("no parts", func(t *testing.T) {
		none := Report{ID: "death", Running: []uint64{1}}
		assert.Equal(t, []Report{none}, none.Split(3))
	})
}
