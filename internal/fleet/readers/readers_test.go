package readers

import (
	"fmt"
	"slices"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

func fleet(zones ...int) (all []citronstream.PeerInfo) {
	for zone, entries := range zones {
		for i := range entries {
			all = append(all, citronstream.PeerInfo{Zone: fmt.Sprint(zone), Address: fmt.Sprintf("10.%d.0.%d:1", zone, i)})
		}
	}
	return all
}

// choices returns what each entry chooses when all see each other.
func choices(all []citronstream.PeerInfo) (list []Choice, self int) {
	for i, pe := range all {
		others := append(append([]citronstream.PeerInfo{}, all[:i]...), all[i+1:]...)
		ch := New(pe, others)
		if list = append(list, ch); ch.Self {
			self++
		}
	}
	return list, self
}

// The number of readers, and with it the calls to the store, follows the zones
// and not the entries.
func TestReadersDoNotGrowWithTheFleet(t *testing.T) {
	for _, entries := range []int{5, 20, 80} {
		for zones, want := range map[int]int{1: 3, 2: 4, 3: 3, 5: 5} {
			list, self := choices(fleet(slices.Repeat([]int{entries}, zones)...))
			assert.Equal(t, want, self)
			for _, ch := range list {
				assert.Equal(t, want, ch.Count)
				assert.True(t, ch.Listeners)
			}
		}
	}
}

// In a small site all entries read, and nobody has to be told.
func TestSmallSite(t *testing.T) {
	list, self := choices(fleet(2, 1, 2))
	assert.Equal(t, 5, self)
	for _, ch := range list {
		assert.Equal(t, Choice{Self: true, Count: 5}, ch)
	}
}

// When entries are lost, each zone still has readers, and those that read before
// and live go on.
func TestLossOfReaders(t *testing.T) {
	all := fleet(10, 10)
	list, _ := choices(all)
	var left []citronstream.PeerInfo
	lost := 0
	for i, ch := range list {
		if ch.Self && lost < 2 {
			lost++
			continue
		}
		left = append(left, all[i])
	}
	_, self := choices(left)
	assert.Equal(t, 4, self)
}

// Guards against a reader with a slow link, which can't tell all others in time: it sends
// each of them the rows of each read.
func TestReadersHaveCapacity(t *testing.T) {
	all := fleet(10, 10, 10)
	strong := make(map[string]bool)
	for i := range all {
		if all[i].Capacity = 1 + float64(i%10)/10; i%10 >= 7 {
			all[i].Capacity, strong[all[i].Address] = 100+float64(i), true
		}
	}
	list, self := choices(all)
	assert.Equal(t, 3, self)
	for i, ch := range list {
		assert.False(t, ch.Self && !strong[all[i].Address], all[i].Address)
	}
	// Entries of about the same capacity are chosen as if it were the same.
	alike := fleet(20)
	before, _ := choices(alike)
	for i := range alike {
		alike[i].Capacity = 100 + float64(i)
	}
	after, _ := choices(alike)
	assert.Equal(t, before, after)
}
