// Package capacity holds what is known of the capacity of one upstream: its long-term
// speed, its transient slowness and its free capacity, each with its age and source.
//
// Load pattern: upstreams of one service whose speeds differ for good by a factor of two,
// and each of which is slowed for some tenths of a second every few seconds. A process is
// one of many and has few requests at each of them.
package capacity

import (
	"math"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// loadFresh is the age up to which a load that an upstream said counts as the present
	// one. From then on it fades with the time constant loadFade: it changes many times a
	// second. It is dropped after loadLife.
	loadFresh = 100 * time.Millisecond
	loadFade  = 200 * time.Millisecond
	loadLife  = 2 * time.Second
	// stepFade is the time constant with which measured slowness fades. An upstream stays
	// slow for about 0.6 s, so that half of it is left on average when it is noticed.
	stepFade = 300 * time.Millisecond
	// stepSlow is the least measured slowness that counts: the times between two events
	// vary by less with the other requests.
	stepSlow = 1.6
	// maxFactor bounds each factor, so that a wrong measurement or figure repels or
	// attracts only so much. No instance differs from the others by more.
	maxFactor = 4.0
	// maxSamples is the weight that a mean keeps at most, so that it follows an instance
	// whose speed changes, and what one peer can weigh.
	maxSamples = 40.0
	// sampleSpread is the standard deviation of the logarithm of one sample. Engines with
	// equal speed differ by that much from one response to the next.
	sampleSpread = 0.4
	// longLife is how long a long-term factor is kept without a new sample or report.
	longLife = time.Second
	// reportLife is how long a peer's report counts. Peers report an instance again with
	// each new sample.
	reportLife = time.Minute
)

// Source says where a value comes from.
type Source string

// The sources of values.
const (
	FromNothing Source = "none"
	FromLoad    Source = "load header"
	FromCalls   Source = "own calls"
	FromPeers   Source = "peers"
)

// Value is a factor of the usual time, with its source and age. It is 1 without a source.
type Value struct {
	Factor float64
	Source Source
	Age    time.Duration
}

// State is what is known of one upstream. The zero value knows nothing.
type State struct {
	load   citronstream.ServerLoad
	loadAt time.Time
	paceAt time.Time // when the load had a pace last
	pace   float64

	own    mean
	ownAt  time.Time
	unsent bool // own has samples that the peers were not told
	peers  map[string]peerMean

	long   Value // the last result of LongTerm
	longAt time.Time
	known  bool // long follows from all samples and reports

	step   float64 // measured slowness, relative to the long-term speed
	stepAt time.Time
}

// mean is the mean logarithm of measured to usual time.
type mean struct{ log, samples float64 }

type peerMean struct {
	mean
	at time.Time
}

// ObserveLoad records the load that an upstream said; the zero value changes nothing.
func (st *State) ObserveLoad(sl citronstream.ServerLoad, now time.Time) {
	if sl.Slots < 1 {
		return
	}
	st.load, st.loadAt = sl, now
	if sl.Pace > 0 {
		st.pace, st.paceAt = clamp(sl.Pace), now
	}
}

// Load returns the load that the upstream said last, and its age; false if it said none
// within loadLife.
func (st *State) Load(now time.Time) (sl citronstream.ServerLoad, age time.Duration, known bool) {
	age = now.Sub(st.loadAt)
	if st.load.Slots < 1 || age > loadLife {
		return citronstream.ServerLoad{}, 0, false
	}
	return st.load, age, true
}

// Pace returns the pace that the upstream said last and how much it counts, from 1 when
// it was said just now to 0.
func (st *State) Pace(now time.Time) (pace, weight float64) {
	age := now.Sub(st.paceAt)
	switch {
	case st.pace == 0 || age > loadLife:
		return 1, 0
	case age <= loadFresh:
		return st.pace, 1
	}
	return st.pace, math.Exp(-float64(age-loadFresh) / float64(loadFade))
}

// ObserveTime records the measured time of a whole response or of its events, relative to
// the usual one of the service's upstreams.
func (st *State) ObserveTime(ratio float64, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	st.own.samples = min(st.own.samples+1, maxSamples)
	st.own.log += (math.Log(clamp(ratio)) - st.own.log) / st.own.samples
	st.ownAt, st.unsent, st.known = now, true, false
}

// ObserveStep records the measured time of the last few events of a response, relative to
// the usual one of the service's upstreams.
func (st *State) ObserveStep(ratio float64, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	st.step, st.stepAt = clamp(ratio/st.LongTerm(now).Factor), now
}

// TakeReport returns what the peers should be told of the own calls since the last
// report; false if there were none.
func (st *State) TakeReport() (citronstream.SpeedReport, bool) {
	if !st.unsent {
		return citronstream.SpeedReport{}, false
	}
	st.unsent = false
	return citronstream.SpeedReport{Time: math.Exp(st.own.log), Samples: st.own.samples}, true
}

// ObserveReport records a peer's report. An implausible one is dropped. It replaces the
// peer's last one, so that lost and repeated messages do no harm.
func (st *State) ObserveReport(peer string, sr citronstream.SpeedReport, now time.Time) {
	if !(sr.Time > 0) || math.IsInf(sr.Time, 1) || !(sr.Samples > 0) {
		return
	}
	if st.peers == nil {
		st.peers = make(map[string]peerMean)
	}
	st.known = false
	st.peers[peer] = peerMean{mean{math.Log(clamp(sr.Time)), min(sr.Samples, maxSamples)}, now}
	for name, pe := range st.peers {
		if now.Sub(pe.at) > reportLife {
			delete(st.peers, name)
		}
	}
}

// LongTerm returns the time that work takes for good, relative to the usual one: 1 until
// enough samples tell it from chance. It is called for each candidate of each choice.
func (st *State) LongTerm(now time.Time) Value {
	if age := now.Sub(st.longAt); !st.known || age > longLife || age < 0 {
		st.long, st.longAt, st.known = st.longTerm(now), now, true
	}
	va := st.long
	if va.Source != FromNothing {
		va.Age += now.Sub(st.longAt)
	}
	return va
}

func (st *State) longTerm(now time.Time) Value {
	va := Value{Factor: 1, Source: FromNothing}
	sum, samples := 0.0, 0.0
	if st.own.samples > 0 {
		sum, samples = st.own.log*st.own.samples, st.own.samples
		va.Source, va.Age = FromCalls, now.Sub(st.ownAt)
	}
	for _, pe := range st.peers {
		age := now.Sub(pe.at)
		if age > reportLife {
			continue
		}
		sum, samples = sum+pe.log*pe.samples, samples+pe.samples
		if va.Source != FromCalls && (va.Source == FromNothing || age < va.Age) {
			va.Source, va.Age = FromPeers, age
		}
	}
	if samples == 0 {
		return va
	}
	// The mean is reduced by the share that chance explains: wholly within two standard
	// errors, hardly far beyond.
	log, chance := sum/samples, 4*sampleSpread*sampleSpread/samples
	if log*log > chance {
		va.Factor = clamp(math.Exp(log * (1 - chance/(log*log))))
	}
	return va
}

// Transient returns the time that work takes now, relative to the long-term one.
func (st *State) Transient(now time.Time) Value {
	if pace, weight := st.Pace(now); weight > 0 {
		return Value{1 + weight*(pace-1), FromLoad, now.Sub(st.paceAt)}
	}
	if age := now.Sub(st.stepAt); st.step >= stepSlow && age < 5*stepFade {
		return Value{1 + (st.step-1)*math.Exp(-float64(age)/float64(stepFade)), FromCalls, age}
	}
	return Value{Factor: 1, Source: FromNothing}
}

func clamp(factor float64) float64 { return max(1/maxFactor, min(factor, maxFactor)) }
