package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessage is the largest message in bytes. A peer that announces a larger
// one is disconnected before memory is taken for it.
const MaxMessage = 12 << 20

var errTooLarge = merry.Sentinel("message is larger than the limit")

// codec is jsonrpc2's length-prefixed codec with a limit on the length. It
// reads each message whole, which spares a decoder's own buffer.
type codec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(rd *bufio.Reader, to any) error {
	length, err := binary.ReadUvarint(rd)
	if err != nil {
		return err
	}
	if length > MaxMessage {
		return errTooLarge
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(rd, data); err != nil {
		return err
	}
	return json.Unmarshal(data, to)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (co codec) WriteObject(wr io.Writer, from any) error {
	return co.VarintObjectCodec.WriteObject(wr, from)
}
