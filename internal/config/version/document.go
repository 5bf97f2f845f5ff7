package version

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// maxDocumentBytes bounds the unpacked document. At full size it takes about 1 MB.
	maxDocumentBytes = 64 << 20
	// maxHistory bounds the history of accepted versions. It lets an operator who lost
	// the answer find the change even after later ones.
	maxHistory = 32
)

// HistoryItem is an accepted version in the history.
type HistoryItem struct {
	Version uint64 `json:"Version"`
	OpID    string `json:"OpID"`
	Author  string `json:"Author"`
}

// Record is the value of the table row Config: the accepted version and where its
// document is stored.
type Record struct {
	Version  uint64    `json:"Version"`
	Document string    `json:"Document"` // key in the object store
	Digest   string    `json:"Digest"`   // hex SHA-256 of the unpacked document
	OpID     string    `json:"OpID"`
	Author   string    `json:"Author"`
	At       time.Time `json:"At"`
	// Delta is true if the object store also holds the difference from the previous
	// version, under the document's key with deltaSuffix.
	Delta bool `json:"Delta,omitempty"`
}

// Document is a version with its text, as peers exchange it.
type Document struct {
	Record Record `json:"Record"`
	// Base is 0 for a full document. Otherwise Body is a JSON Patch (RFC 6902) from the
	// text of version Base to this one.
	Base uint64 `json:"Base,omitempty"`
	Body []byte `json:"Body"` // gzip
}

// Encode marshals and compresses a fleet. The digest is that of the uncompressed text.
func Encode(fl *citronstream.Fleet) (body []byte, digest string, err error) {
	text, err := json.Marshal(fl)
	if err != nil {
		return nil, "", err
	}
	body, err = pack(text)
	return body, digestOf(text), err
}

func pack(text []byte) ([]byte, error) {
	var packed bytes.Buffer
	zip := gzip.NewWriter(&packed)
	if _, err := zip.Write(text); err != nil {
		return nil, err
	}
	err := zip.Close()
	return packed.Bytes(), err
}

func unpack(body []byte) ([]byte, error) {
	zip, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("configuration document: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(zip, maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("configuration document: %w", err)
	}
	if len(text) > maxDocumentBytes {
		return nil, fmt.Errorf("configuration document is larger than %d bytes", maxDocumentBytes)
	}
	return text, nil
}

// Decode unpacks a full document and checks its digest and version against its record.
func Decode(do Document) (*citronstream.Fleet, error) {
	if do.Base != 0 {
		return nil, fmt.Errorf("configuration document is a difference from version %d, want a full document", do.Base)
	}
	text, err := unpack(do.Body)
	if err != nil {
		return nil, err
	}
	if got := digestOf(text); got != do.Record.Digest {
		return nil, fmt.Errorf("configuration document has digest %.12s, its record has %.12s", got, do.Record.Digest)
	}
	fl := &citronstream.Fleet{}
	if err := json.Unmarshal(text, fl); err != nil {
		return nil, fmt.Errorf("configuration document: %w", err)
	}
	if fl.Version != do.Record.Version {
		return nil, fmt.Errorf("configuration document has version %d, its record has %d", fl.Version, do.Record.Version)
	}
	return fl, nil
}

func digestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
