package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func fleet(count int, age time.Duration) (list []Candidate) {
	for i := range count {
		list = append(list, Candidate{Address: fmt.Sprintf("10.0.0.%d:1", i), Capacity: 100, Age: age})
	}
	return list
}

// without returns the candidates but one.
func without(list []Candidate, address string) (rest []Candidate) {
	for _, ca := range list {
		if ca.Address != address {
			rest = append(rest, ca)
		}
	}
	return rest
}

// An owner that is killed and comes back gets its queues back only when it has run
// for a while; until then they stay with the entry that took them over.
func TestOwnerComesBack(t *testing.T) {
	list := fleet(15, time.Minute)
	for _, service := range []string{"a", "b", "c", "d"} {
		first := Owner(service, list)
		second := Owner(service, without(list, first))
		assert.NotEqual(t, first, second)
		for age, want := range map[time.Duration]string{0: second, settleTime - time.Millisecond: second, settleTime: first} {
			back := append(without(list, first), Candidate{Address: first, Capacity: 100, Age: age})
			assert.Equal(t, want, Owner(service, back), "%v after its start", age)
		}
	}
}

// Entries that all have just started choose as they will later.
func TestNewFleet(t *testing.T) {
	assert.Equal(t, Owner("a", fleet(15, time.Minute)), Owner("a", fleet(15, time.Second)))
	assert.Empty(t, Owner("a", nil))
}

// After an outage the entries start within a second. Their queues do not move when the
// first of them has run for long.
func TestAllStartAgain(t *testing.T) {
	owners := make(map[string]bool)
	for age := 2 * time.Second; age < 2*settleTime; age += 100 * time.Millisecond {
		list := fleet(15, 0)
		for i := range list {
			list[i].Age = age - time.Duration(i)*time.Second/15
		}
		owners[Owner("a", list)] = true
	}
	assert.Len(t, owners, 1)
}

// Weak entries own no queue while a strong one lives, though it may be new.
func TestWeakEntries(t *testing.T) {
	list := fleet(15, time.Minute)
	list = append(list, Candidate{Address: "strong", Capacity: 400})
	assert.Equal(t, "strong", Owner("a", list))
}
