package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

func fleet(engines, models, replicas int) *citronstream.Fleet {
	fl := &citronstream.Fleet{Services: []citronstream.Service{{Name: "gen", Kind: citronstream.KindEngine}, {Name: "desk", Kind: citronstream.KindPlain}}}
	for i := range models {
		fl.Models = append(fl.Models, citronstream.Model{Name: fmt.Sprintf("m%d", i), Replicas: replicas})
	}
	for i := range engines {
		fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{Name: fmt.Sprintf("e%d", i), Service: "gen"})
	}
	fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{Name: "d0", Service: "desk"})
	return fl
}

// placements returns the set of engine and model pairs.
func placements(fl *citronstream.Fleet) map[string]bool {
	pl, pairs := New(fl), map[string]bool{}
	for _, up := range fl.Upstreams {
		en, _ := pl.Engine(up.Name)
		for _, model := range en.Models {
			pairs[up.Name+" "+model] = true
		}
	}
	return pairs
}

// If agents computed different placements, a model could be on no engine.
func TestSameInEveryProcess(t *testing.T) {
	fl := fleet(50, 19, 8)
	want := placements(fl)
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		rnd.Shuffle(len(fl.Models), func(i, j int) { fl.Models[i], fl.Models[j] = fl.Models[j], fl.Models[i] })
		rnd.Shuffle(len(fl.Upstreams), func(i, j int) { fl.Upstreams[i], fl.Upstreams[j] = fl.Upstreams[j], fl.Upstreams[i] })
		assert.Equal(t, want, placements(fl))
	}
}

// Each move loads weights from a rate-limited store: removing an engine must
// move few models besides its own. As the placement depends on the fleet alone,
// it is restored when the engine returns.
func TestMovement(t *testing.T) {
	for _, size := range [][3]int{{9, 4, 3}, {18, 5, 6}, {100, 19, 20}, {1000, 19, 200}} {
		fl := fleet(size[0], size[1], size[2])
		before, whole := placements(fl), New(fl)
		moved, own, cases := 0, 0, min(size[0], 30)
		for gone := range cases {
			less := *fl
			less.Upstreams = append(append([]citronstream.Upstream{}, fl.Upstreams[:gone]...), fl.Upstreams[gone+1:]...)
			after := placements(&less)
			assert.Len(t, after, len(before))
			for pair := range after {
				if !before[pair] {
					moved++
				}
			}
			en, _ := whole.Engine(fl.Upstreams[gone].Name)
			own += len(en.Models)
		}
		share, least := float64(moved)/float64(cases*len(before)), float64(own)/float64(cases*len(before))
		t.Logf("%d engines, %d models x %d: %.4f of the placements move when one engine goes, its own are %.4f", size[0], size[1], size[2], share, least)
		assert.LessOrEqual(t, share, 2*least)
	}
}

func TestPlan(t *testing.T) {
	t.Run("replicas, all engines and allowed models", func(t *testing.T) {
		fl := fleet(10, 3, 4)
		fl.Models[0].Replicas = 0
		fl.Upstreams[0].Models = []string{"m1"}
		fl.Upstreams[1].Models = []string{"none"}
		pl, count := New(fl), map[string]int{}
		for i := range 10 {
			en, ok := pl.Engine(fmt.Sprintf("e%d", i))
			assert.True(t, ok)
			for _, model := range en.Models {
				count[model]++
				assert.True(t, i > 1 || i == 0 && model == "m1", "e%d holds %s", i, model)
			}
		}
		assert.Equal(t, map[string]int{"m0": 8, "m1": 4, "m2": 4}, count)
		en, _ := pl.Engine("e1")
		assert.Equal(t, RoleSpare, en.Role)
		_, ok := pl.Engine("d0")
		assert.False(t, ok, "a plain upstream holds no model")
		assert.Empty(t, pl.MissingReplicas())
	})
	t.Run("too few engines", func(t *testing.T) {
		assert.Equal(t, map[string]int{"m0": 2}, New(fleet(2, 1, 4)).MissingReplicas())
	})
	// If the order of engines were the same for all models, most would be empty.
	t.Run("models spread over the engines", func(t *testing.T) {
		pl, serving := New(fleet(100, 19, 20)), 0
		for i := range 100 {
			if en, _ := pl.Engine(fmt.Sprintf("e%d", i)); en.Role == RoleServe {
				serving++
			}
		}
		assert.Greater(t, serving, 90)
	})
	// Without a limit, one engine would hold more models than fit in its memory.
	t.Run("capacity", func(t *testing.T) {
		pl := New(fleet(100, 40, 5)) // 2 on average, at most 4
		for i := range 100 {
			en, _ := pl.Engine(fmt.Sprintf("e%d", i))
			assert.LessOrEqual(t, len(en.Models), 4)
		}
	})
}
