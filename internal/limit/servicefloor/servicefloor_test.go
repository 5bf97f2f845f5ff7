package servicefloor

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

func TestBelow(t *testing.T) {
	check := func(name string, want bool, rareServed int, age time.Duration) {
		t.Run(name, func(t *testing.T) {
			clk := clockwork.NewFakeClock()
			fl := New(clk)
			for i := range 100 {
				fl.Observe("often", i < 80)
				fl.Observe("rare", i < rareServed)
			}
			clk.Advance(age)
			assert.Equal(t, want, fl.Below("rare"))
			assert.False(t, fl.Below("often"))
			assert.False(t, fl.Below("new"))
		})
	}
	check("served less often", false, 40, 0)
	check("hardly served", true, 10, 0)
	check("long ago", false, 10, 5*memory)
}

func TestKindsAreBounded(t *testing.T) {
	fl := New(clockwork.NewFakeClock())
	for i := range maxKinds + 10 {
		fl.Observe(fmt.Sprint(i), true)
	}
	assert.LessOrEqual(t, len(fl.kinds), maxKinds)
}
