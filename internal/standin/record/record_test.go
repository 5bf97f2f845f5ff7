package record

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Tests check verdicts against this log: an execution that is missing from an
// index below the cap, or listed after its eviction, gives a wrong result.
func TestLogAgainstModel(t *testing.T) {
	const limit = 5
	rapid.Check(t, func(rt *rapid.T) {
		lo := New(clockwork.NewFakeClock(), WithCap(limit))
		var model []Execution
		kept := func(match func(Execution) bool) []Execution {
			found := []Execution{}
			for _, ex := range model[max(0, len(model)-limit):] {
				if match(ex) {
					found = append(found, ex)
				}
			}
			return found
		}
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(rt *rapid.T) {
				name := rapid.SampledFrom([]string{"", "a", "b"})
				ex := Execution{Key: name.Draw(rt, "key"), RequestID: name.Draw(rt, "request")}
				ex.ID = lo.Begin(ex)
				ex.Outcome, ex.StartedAt = Running, lo.clk.Now()
				model = append(model, ex)
				assert.EqualValues(rt, len(model), ex.ID)
			},
			"end": func(rt *rapid.T) {
				id := rapid.Uint64Range(1, 20).Draw(rt, "id")
				lo.End(id, 7, Done)
				if int(id) <= len(model) && int(id) > len(model)-limit && model[id-1].Outcome == Running {
					ex := &model[id-1]
					ex.Output, ex.Outcome, ex.EndedAt = 7, Done, lo.clk.Now()
				}
			},
			"": func(rt *rapid.T) {
				assert.Equal(rt, kept(func(Execution) bool { return true }), append([]Execution{}, lo.All()...))
				for _, name := range []string{"a", "b"} {
					assert.Equal(rt, kept(func(ex Execution) bool { return ex.Key == name }), lo.ByKey(name))
					assert.Equal(rt, kept(func(ex Execution) bool { return ex.RequestID == name }), lo.ByRequest(name))
				}
				assert.EqualValues(rt, len(model), int(lo.Dropped())+lo.Len())
			},
		})
	})
}

// An index that keeps the keys of evicted executions grows without bound.
func TestLogDropsKeysOfEvicted(t *testing.T) {
	lo := New(clockwork.NewFakeClock(), WithCap(2))
	for i := range 10 {
		lo.Begin(Execution{Key: fmt.Sprint(i), RequestID: fmt.Sprint(i)})
	}
	assert.Len(t, lo.byKey, 2)
	assert.Len(t, lo.byRequest, 2)
}
