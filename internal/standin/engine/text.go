package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of a block of the prefix cache.
const BlockBytes = 256

// bytesPerToken estimates the tokens of a prompt.
const bytesPerToken = 4

var syllables = [...]string{
	"ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va",
}

// generator generates the output. Each word depends only on the text before it,
// so a resume with the prompt and the output so far continues the same output.
type generator struct {
	hash *xxhash.Digest
}

func newGenerator(prompt string) *generator {
	ge := &generator{hash: xxhash.New()}
	_, _ = ge.hash.WriteString(prompt)
	return ge
}

// next returns the next token: a space and a word of three syllables.
func (ge *generator) next() string {
	sum := ge.hash.Sum64()
	word := " " + syllables[sum&15] + syllables[sum>>4&15] + syllables[sum>>8&15]
	_, _ = ge.hash.WriteString(word)
	return word
}

// Generate returns the output of any engine for a prompt and max_tokens.
func Generate(prompt string, maxTokens int) string {
	ge := newGenerator(prompt)
	var out strings.Builder
	for range maxTokens {
		out.WriteString(ge.next())
	}
	return out.String()
}

// Blocks returns the hash chain of a text's complete blocks: each hash covers
// the hash before it (8 bytes little endian, 0 for the first) and the block.
func Blocks(text string) []uint64 {
	hashes := make([]uint64, 0, len(text)/BlockBytes)
	var last uint64
	dg := xxhash.New()
	for ; len(text) >= BlockBytes; text = text[BlockBytes:] {
		var head [8]byte
		binary.LittleEndian.PutUint64(head[:], last)
		dg.Reset()
		_, _ = dg.Write(head[:])
		_, _ = dg.WriteString(text[:BlockBytes])
		last = dg.Sum64()
		hashes = append(hashes, last)
	}
	return hashes
}
