package outage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const heartbeat = 1200 * time.Millisecond

// at returns a time in ms.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// followed returns a record with an answer each 200 ms until a time; the version at a time
// is its ms divided by 100.
func followed(until int) *Record {
	re := New(heartbeat)
	for ms := 0; ms <= until; ms += 200 {
		re.Answered(uint64(ms/100), at(ms), at(ms+5))
	}
	return re
}

// Guards against rows that expired while the store was away and whose upstreams get no work
// until they are written again.
func TestExpired(t *testing.T) {
	re := followed(4000)
	assert.False(t, re.MayHaveExpired(39, at(4100)), "no failure yet")
	re.Failed(at(4200), at(4700))
	assert.True(t, re.MayHaveExpired(39, at(8000)))
	assert.False(t, re.Over(at(20000)), "the store is still away")
	re.Answered(41, at(8100), at(8105))
	assert.True(t, re.MayHaveExpired(39, at(8110)))
	assert.True(t, re.MayHaveExpired(39, at(8105).Add(Grace-1)))
	assert.False(t, re.Over(at(8105).Add(Grace-1)))
	assert.True(t, re.Over(at(8105).Add(Grace)))
	assert.False(t, re.MayHaveExpired(39, at(8105).Add(Grace)))
}

// Guards against the use of an upstream that has left, as its removal is taken for an expiry
// that its row can't have met.
func TestRemovedOnPurpose(t *testing.T) {
	re := followed(4000)
	re.Failed(at(4200), at(4700))
	assert.False(t, re.MayHaveExpired(39, at(7200)), "written after 3.8 s, it lasts until 7.4 s")
	re.Answered(41, at(8000), at(8005))
	assert.False(t, re.MayHaveExpired(42, at(8400)), "written after the return")
	assert.True(t, re.MayHaveExpired(41, at(8400)), "perhaps written before the outage")
}

// Guards against a late sign of an outage, such as a call that began in it and ends with its
// time-out, which lengthens the doubt.
func TestLateFailure(t *testing.T) {
	re := followed(4000)
	re.Failed(at(4200), at(4700))
	re.Answered(41, at(8000), at(8005))
	re.Failed(at(7900), at(8900))
	assert.True(t, re.Over(at(8005).Add(Grace)))
	assert.False(t, re.MayHaveExpired(42, at(9000)))
	re.Failed(at(8100), at(9100))
	assert.False(t, re.Over(at(8005).Add(Grace)), "a call that began after the answer counts")
}

// Guards against an entry that the store turns away and that keeps all upstreams which
// its peers know to be gone.
func TestPeersReadTheStore(t *testing.T) {
	re := followed(4000)
	re.Failed(at(4200), at(4700))
	for ms := 4900; ms < 10000; ms += 500 {
		re.Told(uint64(ms/100), at(ms), at(ms+10))
		re.Failed(at(ms+200), at(ms+210))
	}
	assert.False(t, re.MayHaveExpired(92, at(9900)), "written after 9.2 s")
	assert.True(t, re.Over(at(9900)))
	re.Failed(at(11000), at(11500))
	re.Told(101, at(10100), at(11600))
	assert.False(t, re.Over(at(20000)), "the message was held up")
}

// Guards against a doubt about all rows while the interval of heartbeats is unknown, and
// about those of before the first answer.
func TestUnknownInterval(t *testing.T) {
	re := New(0)
	re.Answered(10, at(0), at(5))
	re.Failed(at(100), at(600))
	assert.True(t, re.MayHaveExpired(11, at(700)))
	re.Answered(12, at(800), at(805))
	assert.False(t, re.MayHaveExpired(13, at(900)))
	known := followed(4000)
	known.Failed(at(4200), at(4700))
	assert.True(t, known.MayHaveExpired(0, at(4800)), "older than the record")
	many := followed(60000)
	assert.LessOrEqual(t, len(many.marks), maxMarks)
}

// Guards against a slow answer that counts as an outage that never ends.
func TestDisturbed(t *testing.T) {
	re := followed(4000)
	re.Disturbed(at(4100))
	assert.True(t, re.MayHaveExpired(1, at(4200)))
	assert.True(t, re.Over(at(4100).Add(Grace)))
}
