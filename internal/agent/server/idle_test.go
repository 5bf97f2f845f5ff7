package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against agents that set the pace of idle links: their heartbeats
// would take several times the 5 KB/s of an entry with 475 links. A link with
// calls open is checked each second all the same.
func TestPaceOfIdleLinks(t *testing.T) {
	const paceOfEntry = 475 * 300 * time.Second / 3000
	pe := &peer{}
	assert.Greater(t, pe.idleCheck(), paceOfEntry)
	first, second := pe.newReply(nil), pe.newReply(nil)
	first.close()
	first.close()
	assert.Equal(t, time.Second, pe.idleCheck(), "one call is open")
	second.close()
	assert.Greater(t, pe.idleCheck(), paceOfEntry)
}
