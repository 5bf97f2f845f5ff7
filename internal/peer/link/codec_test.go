package link

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// echo answers "fail" with an error, "null" with null, and any other method with its params.
type echo struct{ notified chan string }

func (ec echo) Handle(ctx context.Context, co *jsonrpc2.Conn, req *jsonrpc2.Request) {
	params := "absent"
	if req.Params != nil {
		params = string(*req.Params)
	}
	switch {
	case req.Notif:
		ec.notified <- req.Method + " " + params
	case req.Method == "fail":
		_ = co.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: 7, Message: "refused", Data: req.Params})
	case req.Method == "null":
		_ = co.Reply(ctx, req.ID, nil)
	default:
		_ = co.Reply(ctx, req.ID, params)
	}
}

// pair connects a Conn with this package's codec to one with the library's.
func pair(t *testing.T) (own, other *jsonrpc2.Conn, notified chan string) {
	left, right := net.Pipe()
	notified = make(chan string, 1)
	co := &codec{}
	own = jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(left, co), echo{notified},
		jsonrpc2.OnSend(co.sent), jsonrpc2.OnRecv(co.received))
	other = jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(right, jsonrpc2.VarintObjectCodec{}), echo{notified})
	t.Cleanup(func() {
		_ = own.Close()
		_ = other.Close()
	})
	return own, other, notified
}

// Guards against a wire format that differs from that of jsonrpc2's own codec, and
// against payloads that are lost or mixed up because they bypass the library.
func TestCodecInteroperates(t *testing.T) {
	own, other, notified := pair(t)
	for name, co := range map[string]*jsonrpc2.Conn{"own codec calls": own, "library codec calls": other} {
		t.Run(name, func(t *testing.T) {
			var text string
			require.NoError(t, co.Call(t.Context(), "echo", map[string]any{"Body": strings.Repeat("x", 9000)}, &text))
			require.Equal(t, `{"Body":"`+strings.Repeat("x", 9000)+`"}`, text)
			require.NoError(t, co.Call(t.Context(), "echo", nil, &text))
			require.Equal(t, "absent", text)
			require.NoError(t, co.Call(t.Context(), "echo", json.RawMessage("null"), &text))
			require.Equal(t, "null", text)
			text = "unchanged"
			require.NoError(t, co.Call(t.Context(), "null", 5, &text))
			require.Equal(t, "unchanged", text)
			var refused *jsonrpc2.Error
			require.ErrorAs(t, co.Call(t.Context(), "fail", 5, &text), &refused)
			require.Equal(t, "5", string(*refused.Data))
			require.NoError(t, co.Notify(t.Context(), "event", []int{1, 2}))
			require.Equal(t, "event [1,2]", <-notified)
		})
	}
}

// Guards against a codec that accepts messages that the library rejects.
func TestCodecRejectsMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"truncated":                    `{"jsonrpc":"2.0","id":1,"method":"a"`,
		"neither request nor response": `{"jsonrpc":"2.0","id":1}`,
		"request and response":         `{"jsonrpc":"2.0","id":1,"method":"a","result":{"A":1}}`,
		"request and null response":    `{"jsonrpc":"2.0","id":1,"method":"a","result":null}`,
		"batch":                        `[{"jsonrpc":"2.0","id":1,"method":"a"}]`,
		"method not text":              `{"jsonrpc":"2.0","id":1,"method":{}}`,
		"malformed parameter":          `{"jsonrpc":"2.0","id":1,"method":"a","params":{"A":}}`,
	} {
		t.Run(name, func(t *testing.T) {
			frame := append(binary.AppendUvarint(nil, uint64(len(text))), text...)
			co := &codec{}
			left, right := net.Pipe()
			conn := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(left, co), echo{},
				jsonrpc2.OnSend(co.sent), jsonrpc2.OnRecv(co.received))
			_, _ = right.Write(frame)
			select {
			case <-conn.DisconnectNotify():
			case <-t.Context().Done():
				require.Fail(t, "the message was accepted")
			}
		})
	}
}

// Guards against memory being allocated for a message above the limit.
func TestCodecLimitsMessages(t *testing.T) {
	frame := binary.AppendUvarint(nil, MaxMessage+1)
	err := (&codec{}).ReadObject(bufio.NewReader(bytes.NewReader(frame)), &json.RawMessage{})
	require.ErrorIs(t, err, errTooLarge)
}

// Guards against a message that breaks off with its connection and is taken for a whole one.
func TestCodecRejectsCutMessages(t *testing.T) {
	text := `{"jsonrpc":"2.0","id":1,"method":"a"}`
	frame := append(binary.AppendUvarint(nil, uint64(len(text))), text...)
	for cut := range len(frame) {
		var to jsonrpc2.Request
		assert.Error(t, new(codec).ReadObject(bufio.NewReader(bytes.NewReader(frame[:cut])), &to), frame[:cut])
	}
}
