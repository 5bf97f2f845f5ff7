package capacity

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1e9, 0)

// Guards against a load that is taken for the present one long after it was said.
func TestLoadFades(t *testing.T) {
	var st State
	_, _, known := st.Load(start)
	assert.False(t, known)
	assert.Equal(t, Value{1, FromNothing, 0}, st.Transient(start))
	st.ObserveLoad(citronstream.ServerLoad{Running: 1, Slots: 1, Pace: 3}, start)
	assert.InDelta(t, 3, st.Transient(start.Add(loadFresh)).Factor, 1e-9)
	assert.InDelta(t, 1+2/math.E, st.Transient(start.Add(loadFresh+loadFade)).Factor, 1e-9)
	assert.Equal(t, Value{1, FromNothing, 0}, st.Transient(start.Add(loadLife+1)))
	_, _, known = st.Load(start.Add(loadLife + 1))
	assert.False(t, known)
}

// Guards against a missing or implausible value that changes what is known.
func TestImplausible(t *testing.T) {
	var st State
	st.ObserveLoad(citronstream.ServerLoad{Running: 1, Slots: 1, Pace: 2}, start)
	st.ObserveLoad(citronstream.ServerLoad{}, start)
	for _, odd := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		st.ObserveTime(odd, start)
		st.ObserveStep(odd, start)
		st.ObserveReport("a", citronstream.SpeedReport{Time: odd, Samples: 1}, start)
	}
	st.ObserveReport("a", citronstream.SpeedReport{Time: 1, Samples: math.NaN()}, start)
	assert.Equal(t, 1.0, st.LongTerm(start).Factor)
	assert.Equal(t, Value{2, FromLoad, 0}, st.Transient(start))
	_, told := st.TakeReport()
	assert.False(t, told)
}

// Guards against a wrong figure of an upstream, or of one of many peers, that attracts or
// repels without bound.
func TestWrongFigureIsBounded(t *testing.T) {
	var st State
	st.ObserveLoad(citronstream.ServerLoad{Slots: 1, Pace: 1e9}, start)
	assert.Equal(t, maxFactor, st.Transient(start).Factor)
	for i := range 24 {
		st.ObserveReport(strconv.Itoa(i), citronstream.SpeedReport{Time: 1, Samples: 10}, start)
	}
	st.ObserveReport("wrong", citronstream.SpeedReport{Time: 1e-9, Samples: 1e9}, start)
	assert.Greater(t, st.LongTerm(start).Factor, 0.8)
}

// Guards against permanent and transient slowness that are taken for each other, and
// against engines of equal speed that seem to differ: 25 processes with 2 responses of
// each engine a process, engines of 0.55 or 1.2 of the nominal speed, each slowed 2.5
// times during a sixth of the time.
func TestSpeedIsLearned(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 0))
	factor := func(speed float64) float64 {
		var list [25]State
		for i := range list {
			for range 2 {
				time := 1 / speed * math.Exp(0.3*draw.NormFloat64())
				if draw.IntN(6) == 0 {
					time *= 2.5
				}
				list[i].ObserveTime(time/1.25, start)
			}
		}
		for i := range list[1:] {
			report, told := list[i+1].TakeReport()
			assert.True(t, told)
			list[0].ObserveReport(strconv.Itoa(i), report, start)
		}
		return list[0].LongTerm(start).Factor
	}
	for range 20 {
		assert.Greater(t, factor(0.55), 1.4)
		assert.Less(t, factor(1.2), 1.0)
		assert.InDelta(t, 1, factor(1), 0.2)
	}
	var st State
	st.ObserveStep(2.5, start)
	assert.Equal(t, 1.0, st.LongTerm(start).Factor)
	assert.Equal(t, Value{2.5, FromCalls, 0}, st.Transient(start))
	assert.InDelta(t, 1, st.Transient(start.Add(4*stepFade)).Factor, 0.05)
}

// Guards against a lost message that takes samples of a peer away, a repeated one that
// counts twice, and a silent peer that counts for ever.
func TestReports(t *testing.T) {
	var st State
	for range 3 {
		st.ObserveReport("a", citronstream.SpeedReport{Time: 2, Samples: 4}, start)
	}
	once := st.LongTerm(start)
	assert.Equal(t, FromPeers, once.Source)
	assert.InDelta(t, math.Exp(math.Ln2-4*sampleSpread*sampleSpread/4/math.Ln2), once.Factor, 1e-9)
	assert.Equal(t, Value{1, FromNothing, 0}, st.LongTerm(start.Add(reportLife+1)))
}
