package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	jsonv1 "github.com/go-json-experiment/json/v1"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessage is the largest message in bytes. A peer that announces a larger
// one is disconnected before memory is allocated for it.
const MaxMessage = 12 << 20

// A process has two links for each of hundreds of peers, so what a link keeps
// between messages is small: maxScratch bytes to write and readBuffer to read.
const (
	maxScratch = 2 << 10
	readBuffer = 1 << 10
	// maxAtOnce is the largest message in bytes for which memory is allocated at once.
	maxAtOnce = 64 << 10
)

var errTooLarge = merry.Sentinel("message is larger than the limit")

// codec has the wire format of jsonrpc2's VarintObjectCodec, with a limit on the
// length. It handles params and results as raw bytes, as jsonrpc2 would scan them
// three times when it writes, and would decode them into maps and encode them
// again when it reads.
//
// The hooks sent and received bind it to one jsonrpc2.Conn. The Conn calls sent
// right before WriteObject under its send lock, and received right after
// ReadObject on its reader.
type codec struct {
	// Guarded by the Conn's send lock.
	req     *jsonrpc2.Request
	resp    *jsonrpc2.Response
	scratch []byte

	limit    atomic.Int64    // bytes of a message that is read; 0 means MaxMessage
	exceeded atomic.Bool     // a message was longer than limit
	payload  json.RawMessage // params or result of the last message; used only by the reader
}

// objectStream is a jsonrpc2.ObjectStream that writes without a buffer: the codec
// writes each message with one call.
type objectStream struct {
	stream io.ReadWriteCloser
	rd     *bufio.Reader
	codec  *codec
	outbox *outbox // nil without priorities
}

func newObjectStream(stream io.ReadWriteCloser, co *codec) *objectStream {
	return &objectStream{stream: stream, rd: bufio.NewReaderSize(stream, readBuffer), codec: co}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (os *objectStream) ReadObject(to any) error { return os.codec.ReadObject(os.rd, to) }

// WriteObject implements jsonrpc2.ObjectStream. The Conn calls it under its send lock.
func (os *objectStream) WriteObject(from any) error {
	if os.outbox == nil {
		return os.codec.WriteObject(os.stream, from)
	}
	return os.codec.WriteObject(os.codec.classed(os.outbox), from)
}

// classedWriter passes a message on with its class.
type classedWriter struct {
	outbox *outbox
	class  Class
	method string
}

// Write implements io.Writer.
func (cw classedWriter) Write(data []byte) (int, error) {
	return len(data), cw.outbox.write(cw.class, cw.method, data)
}

// classed returns the writer for the message last passed to sent.
func (co *codec) classed(ob *outbox) classedWriter {
	cw := classedWriter{outbox: ob}
	var meta *json.RawMessage
	if co.req != nil {
		cw.method, meta = co.req.Method, co.req.Meta
	} else {
		meta = co.resp.Meta
	}
	if meta != nil {
		_ = json.Unmarshal(*meta, &cw.class) // a class, see NotifyAs
	}
	return cw
}

// Close implements jsonrpc2.ObjectStream.
func (os *objectStream) Close() error { return os.stream.Close() }

// outgoing is a message without its payload.
type outgoing struct {
	Version string          `json:"jsonrpc"`
	ID      *jsonrpc2.ID    `json:"id,omitempty"`
	Method  string          `json:"method,omitempty"`
	Error   *jsonrpc2.Error `json:"error,omitempty"`
}

// incoming is a message with its values not decoded.
type incoming struct {
	ID     json.RawMessage `json:"id,omitempty"`
	Method json.RawMessage `json:"method,omitempty"`
	Params json.RawMessage `json:"params,omitempty"`
	Result json.RawMessage `json:"result,omitempty"`
	Error  json.RawMessage `json:"error,omitempty"`
}

// placeholder replaces a payload in what jsonrpc2 decodes.
var (
	placeholder = json.RawMessage("0")
	null        = json.RawMessage("null")
)

// sent is the Conn's OnSend hook.
func (co *codec) sent(req *jsonrpc2.Request, resp *jsonrpc2.Response) { co.req, co.resp = req, resp }

// received is the Conn's OnRecv hook. For a response, req is its request, or
// nil if that is unknown.
func (co *codec) received(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if co.payload == nil {
		return
	}
	payload := co.payload // a copy: the reader may read the next message before this one is decoded
	if resp != nil {
		resp.Result = &payload
		return
	}
	req.Params = &payload
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (co *codec) ReadObject(rd *bufio.Reader, to any) error {
	length, err := binary.ReadUvarint(rd)
	if err != nil {
		return err
	}
	if limit := co.limit.Load(); limit > 0 && length > uint64(limit) {
		co.exceeded.Store(true)
		return errTooLarge
	}
	if length > MaxMessage {
		return errTooLarge
	}
	data, err := readMessage(rd, int64(length))
	if err != nil {
		return err
	}
	var in incoming
	if err := jsonv1.Unmarshal(data, &in); err != nil {
		return err
	}
	co.payload = nil
	for _, value := range []*json.RawMessage{&in.Params, &in.Result} {
		if *value != nil && !bytes.Equal(*value, null) {
			co.payload, *value = *value, placeholder
		}
	}
	small, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return json.Unmarshal(small, to)
}

// readMessage allocates memory for a large message only as it arrives.
func readMessage(rd io.Reader, length int64) ([]byte, error) {
	if length <= maxAtOnce {
		data := make([]byte, length)
		_, err := io.ReadFull(rd, data)
		return data, err
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, rd, length)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return buf.Bytes(), err
}

// WriteObject implements jsonrpc2.ObjectCodec. It writes the message last passed to sent.
func (co *codec) WriteObject(wr io.Writer, _ any) error {
	var payload json.RawMessage
	out, name := outgoing{Version: "2.0"}, `,"params":`
	if co.req != nil {
		out.Method = co.req.Method
		if !co.req.Notif {
			out.ID = &co.req.ID
		}
		if co.req.Params != nil {
			payload = *co.req.Params
		}
	} else {
		out.ID, out.Error, name = &co.resp.ID, co.resp.Error, `,"result":`
		if co.resp.Result != nil {
			payload = *co.resp.Result
		}
	}
	co.req, co.resp = nil, nil
	head, err := json.Marshal(&out)
	if err != nil {
		return err
	}
	length := len(head)
	if payload != nil {
		length += len(name) + len(payload)
	}
	buf := binary.AppendUvarint(co.scratch[:0], uint64(length))
	buf = append(buf, head...)
	if payload != nil {
		buf = append(append(append(buf[:len(buf)-1], name...), payload...), '}')
	}
	if cap(buf) <= maxScratch {
		co.scratch = buf
	}
	_, err = wr.Write(buf)
	return err
}
