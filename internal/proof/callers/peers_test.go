package callers

import (
	"context"
	varint "encoding/binary"
	"strings"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/configclient"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// messageClients send all but the end of a message.
	messageClients = 30
	messageBytes   = link.MaxMessage - 1<<20
	// agentConns is the limit on links in the settings of the agent.
	agentConns = 100
)

// Bounds on an agent.
const (
	agentResident = 80_000_000
	agentSockets  = agentConns + 30
)

// unfinished is the start of a message of the largest size.
func unfinished() string {
	return string(varint.AppendUvarint(nil, link.MaxMessage)) + strings.Repeat(" ", messageBytes)
}

// links checks that another process can link to an agent.
func (pr *process) links() {
	pr.t.Helper()
	eng, err := nbconn.New()
	require.NoError(pr.t, err)
	defer eng.Stop()
	client := configclient.New(clk, eng, func() citronstream.Hello { return citronstream.Hello{Name: "other", Role: "agent"} })
	assert.Eventually(pr.t, func() bool {
		_, err := client.Version(context.Background(), pr.callers)
		return err == nil
	}, patience, poll, "no link is opened")
}

// checkAgent checks an agent while the clients are still connected.
func (en *entry) checkAgent() {
	en.t.Helper()
	en.agent.drained()
	en.agent.links()
	en.agent.checkProcess(en.call, agentResident, agentSockets)
}

// Guards against connections to the address for peers that are never used, or that send
// large messages before they say who they are, and take the memory and the descriptors of
// the process.
func TestPeerAddressOfAnAgent(t *testing.T) {
	t.Run("connections", func(t *testing.T) {
		en := startEntry(t)
		en.agent.crowd(connections, func(int, func(string) bool) {})
		en.checkAgent()
	})
	t.Run("messages", func(t *testing.T) {
		en, text := startEntry(t), unfinished()
		en.agent.crowd(messageClients, func(_ int, send func(string) bool) { inParts(send, text) })
		en.checkAgent()
	})
}

// Guards against the same at a gateway.
func TestPeerAddressOfAGateway(t *testing.T) {
	t.Run("connections", func(t *testing.T) {
		ga := startGateway(t)
		peers := ga.process
		peers.callers = ga.peers
		peers.crowd(connections, func(int, func(string) bool) {})
		peers.checkProcess(ga.ordinary, memoryMB*1_000_000, descriptors-fileDescriptors)
	})
	t.Run("messages", func(t *testing.T) {
		ga, text := startGateway(t), unfinished()
		peers := ga.process
		peers.callers = ga.peers
		peers.crowd(messageClients, func(_ int, send func(string) bool) { inParts(send, text) })
		peers.checkProcess(ga.ordinary, memoryMB*1_000_000, descriptors-fileDescriptors)
	})
}
