package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a prompt block.
	BlockBytes = 256
	// MaxBlocks is the largest number of blocks of a prompt: 8 KiB of shared prefix.
	MaxBlocks = 32
)

// Blocks returns the hash chain of the prompt's leading full blocks, at most
// MaxBlocks. Each hash covers all bytes up to the end of its block, so equal
// hashes mean an equal prefix.
func Blocks(prompt []byte) []uint64 {
	count := min(MaxBlocks, len(prompt)/BlockBytes)
	if count == 0 {
		return nil
	}
	chain := make([]uint64, count)
	var link [8 + BlockBytes]byte
	for i := range chain {
		copy(link[8:], prompt[i*BlockBytes:])
		chain[i] = xxhash.Sum64(link[:])
		binary.LittleEndian.PutUint64(link[:8], chain[i])
	}
	return chain
}
