package owner

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a job of which a piece has run and the others find no memory: it was kept
// until the deadline of its request, with the memory that its result takes.
func TestBegunJobWithoutMemoryEnds(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	for _, pieces := range []int{4, 2} {
		result := hs.submit(newJob("full", pieces, nil))
		hs.finish(hs.batch())
		hs.result(result)
	}
	begun := hs.submit(newJob("begun", 2, nil))
	se := hs.batch()
	se.end <- batchEnd{results: []citronstream.ItemResult{{Handle: "a/begun"}, {Fault: citronstream.ItemNoMemory}}}
	require.Eventually(t, func() bool { return hs.Counts().NoMemory == 1 }, 5*time.Second, time.Millisecond)
	hs.clk.Advance(time.Second + maxLateWait)
	hs.Tick()
	assert.Empty(t, begun, "late for no more than maxLateWait")
	hs.noBatch()
	hs.clk.Advance(10 * time.Millisecond)
	hs.Tick()
	fa := hs.result(begun).Fault
	assert.Equal(t, citronstream.CodeOverloaded, fa.Code)
	assert.Equal(t, citronstream.NotRun, fa.Verdict)
	assert.Eventually(t, func() bool { return assert.ObjectsAreEqual([]string{"a/begun"}, hs.fa.releases()) }, 5*time.Second, time.Millisecond)
}
