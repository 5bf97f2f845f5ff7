package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestIdlePingInterval guards against agents that ping idle links before the
// entry does: their heartbeats would take several times the 5 KB/s of an entry
// with 475 links. A link with pending calls is still pinged each second.
func TestIdlePingInterval(t *testing.T) {
	const entryInterval = 475 * 300 * time.Second / 3000
	pe := &peer{}
	assert.Greater(t, pe.pingInterval(), entryInterval)
	first, second := pe.newReply(nil), pe.newReply(nil)
	first.close()
	first.close()
	assert.Equal(t, time.Second, pe.pingInterval(), "one call is pending")
	second.close()
	assert.Greater(t, pe.pingInterval(), entryInterval)
}
