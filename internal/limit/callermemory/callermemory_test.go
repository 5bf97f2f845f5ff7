package callermemory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	total  = 12 << 20
	answer = total / answerShare
	small  = total / smallShare
	large  = total - answer - small
)

// account has bodies by name.
type account struct {
	*Account
	t      *testing.T
	clk    *clockwork.FakeClock
	bodies map[string]*Holder
	shed   []string
}

func newAccount(t *testing.T) *account {
	clk := clockwork.NewFakeClock()
	return &account{Account: New(clk, total), t: t, clk: clk, bodies: make(map[string]*Holder)}
}

// body opens a body that holds bytes.
func (ac *account) body(name, workspace string, bytes int) *Holder {
	ac.t.Helper()
	ho := ac.Open()
	require.True(ac.t, ho.Take(bytes, Request), name)
	ho.Read(workspace, func() { ac.shed = append(ac.shed, name) })
	ac.bodies[name] = ho
	return ho
}

// Guards against a process that takes more than its memory.
func TestTakeIsBounded(t *testing.T) {
	ac := newAccount(t)
	first := ac.Open()
	require.True(t, first.Take(large, Request))
	assert.False(t, first.Take(1, Request), "the rest is reserved")
	assert.Equal(t, large, ac.Used())
	first.Give(100)
	assert.True(t, first.Take(100, Request))
	first.Close()
	first.Close()
	assert.Zero(t, ac.Used())
}

// Guards against large bodies that leave no memory for ordinary small requests, and
// requests that leave none for answers: what they ask for has run.
func TestReservedParts(t *testing.T) {
	ac := newAccount(t)
	require.True(t, ac.Open().Take(large, Request))
	taken := 0
	for ac.Open().Take(smallBytes, Request) {
		taken += smallBytes
	}
	assert.Equal(t, small, taken)
	assert.True(t, ac.Open().Take(answer, Answer))
	assert.False(t, ac.Open().Take(1, Answer))
	assert.Equal(t, total, ac.Used())
}

// Guards against the wrong bodies being given up: stalled ones come first, then slow ones,
// then those of the workspace that holds most.
func TestOrderOfShedding(t *testing.T) {
	ac := newAccount(t)
	arrives := func(name string, bytes int) { ac.bodies[name].Arrived(bytes) }
	ac.body("largest", "most", large/4)
	ac.body("large", "most", large/8)
	ac.body("other", "least", large/4)
	ac.body("stalled", "least", large/8)
	ac.body("slow", "least", large/8)
	ac.body("running", "most", large/8).Done()
	ac.clk.Advance(stallTime)
	for _, name := range []string{"largest", "large", "other"} {
		arrives(name, 10*slowRate)
	}
	arrives("slow", 100)
	newcomer := ac.body("newcomer", "new", 0)
	for _, want := range []string{"stalled", "slow", "largest"} {
		bytes := large - ac.Used() + 2*smallBytes
		require.True(t, newcomer.Shed(bytes, Request), want)
		require.Equal(t, want, ac.shed[len(ac.shed)-1])
		require.True(t, newcomer.Shed(bytes, Request), "its memory is coming back")
		assert.False(t, ac.bodies[want].Take(1, Request), "a body that was told to give up")
		assert.True(t, ac.bodies[want].Done())
		ac.bodies[want].Close()
		require.True(t, newcomer.Take(bytes, Request))
	}
	assert.Equal(t, []string{"stalled", "slow", "largest"}, ac.shed)
}

// Guards against a workspace that displaces its own bodies or those of others by sending
// more.
func TestTheOneThatHoldsMostDisplacesNone(t *testing.T) {
	ac := newAccount(t)
	greedy := ac.body("greedy", "most", large-100)
	ac.body("modest", "least", 100)
	assert.False(t, greedy.Shed(1, Request))
	assert.False(t, ac.body("again", "most", 0).Shed(smallBytes*2, Request))
	assert.Empty(t, ac.shed)
}

// Guards against bodies that give up in vain, as the rest of the memory stays in use.
func TestNoneGiveUpInVain(t *testing.T) {
	ac := newAccount(t)
	ac.body("running", "w", large-100).Done()
	stalled := ac.body("stalled", "w", 100)
	ac.clk.Advance(stallTime)
	newcomer := ac.body("newcomer", "n", 0)
	assert.False(t, newcomer.Shed(2*smallBytes, Request))
	assert.Empty(t, ac.shed)
	assert.Zero(t, ac.shedding)
	assert.False(t, stalled.Done())
}

// Guards against requests that are given up after their bodies have ended: they may run.
func TestWholeBodiesStay(t *testing.T) {
	ac := newAccount(t)
	ac.body("whole", "w", large).Done()
	ac.clk.Advance(time.Hour)
	assert.False(t, ac.body("newcomer", "n", 0).Shed(2*smallBytes, Request))
	assert.False(t, ac.ShedSlow())
	assert.Empty(t, ac.shed)
}

// Guards against a nil account, of a process without settings for its memory, that refuses.
func TestNoAccount(t *testing.T) {
	var none *Account
	ho := none.Open()
	assert.True(t, none.Wait(ho, total, Request, time.Second) && ho.Force(total) && !ho.Done())
	ho.Read("w", nil)
	ho.Arrived(1)
	ho.Give(1)
	ho.Close()
	assert.Zero(t, none.Used()+none.Total())
	assert.False(t, none.ShedSlow())
}

// Guards against sums that drift: whatever happens, nothing is left in the end, and the
// bound holds.
func TestSumsHold(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng, ac := rand.New(rand.NewPCG(seed, 0)), newAccount(t)
			var open []*Holder
			for range 2000 {
				ac.clk.Advance(time.Duration(rng.IntN(300)) * time.Millisecond)
				if len(open) < 40 {
					ho := ac.Open()
					ho.Read(fmt.Sprint(rng.IntN(3)), func() {})
					open = append(open, ho)
				}
				at := rng.IntN(len(open))
				ho, bytes := open[at], rng.IntN(1<<20)
				switch rng.IntN(5) {
				case 0:
					ho.Close()
					open = append(open[:at], open[at+1:]...)
				case 1:
					ho.Arrived(bytes)
				case 2:
					ho.Done()
				default:
					if !ho.Take(bytes, Request) {
						ho.Shed(bytes, Request)
					}
				}
				require.LessOrEqual(t, ac.Used(), total)
				require.GreaterOrEqual(t, ac.shedding, 0)
			}
			for _, ho := range open {
				ho.Close()
			}
			assert.Zero(t, ac.Used())
			assert.Zero(t, ac.shedding)
			assert.Empty(t, ac.Account.bodies)
			assert.Empty(t, ac.held)
		})
	}
}

// Guards against idle connections of the smallest instance (144 MB) that leave no memory
// for an ordinary body of 72 KB.
func TestConnectionsLeaveRoomForOrdinaryBodies(t *testing.T) {
	const connBytes = 22 << 10
	ac := newAccount(t)
	ac.total = (144e6 - 40<<20) / 2
	for conns := 0; ac.FitsConn(conns, connBytes); conns++ {
		ac.Open().Force(connBytes)
	}
	for range 20 {
		body := ac.Open()
		for range 9 {
			require.True(t, body.Take(8<<10, Request))
		}
	}
}
