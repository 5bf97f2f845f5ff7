package bench

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/citronstream/citronstream/internal/peer/link"
)

// Sample is what a process has used since its start.
type Sample struct {
	CPU      time.Duration `json:"CPU"`
	Resident int64         `json:"Resident"` // bytes
	Wire     Wire          `json:"Wire"`     // of the links, where the process counts them
	Links    int           `json:"Links"`
	Version  uint64        `json:"Version"`
}

// Usage returns the processor time and the resident memory of this process.
func Usage() (Sample, error) {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return Sample{}, err
	}
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return Sample{}, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return Sample{CPU: time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), Resident: pages * int64(os.Getpagesize())}, err
}

// Wire counts what crosses links: bytes of payload, and reads and writes,
// each of which is at least one packet.
type Wire struct{ Bytes, Transfers int64 }

// headerBytes are the Ethernet, IP and TCP headers of a packet with timestamps.
const headerBytes = 66

// Upper is an upper estimate of the bytes on the wire: each transfer has a
// packet, and each packet an acknowledgement of its own.
func (wi Wire) Upper() int64 { return wi.Bytes + 2*headerBytes*wi.Transfers }

// Sub returns the difference to an earlier count.
func (wi Wire) Sub(earlier Wire) Wire {
	return Wire{wi.Bytes - earlier.Bytes, wi.Transfers - earlier.Transfers}
}

// Meter counts the traffic of the streams that it wraps.
type Meter struct{ bytes, transfers atomic.Int64 }

// Wire returns the counts so far.
func (me *Meter) Wire() Wire { return Wire{me.bytes.Load(), me.transfers.Load()} }

// Wrap counts a stream.
func (me *Meter) Wrap(st link.Stream) link.Stream { return &metered{st, me} }

type metered struct {
	link.Stream
	me *Meter
}

// Read implements io.Reader.
func (mt *metered) Read(to []byte) (int, error) {
	n, err := mt.Stream.Read(to)
	mt.me.count(n)
	return n, err
}

// Write implements io.Writer.
func (mt *metered) Write(data []byte) (int, error) {
	n, err := mt.Stream.Write(data)
	mt.me.count(n)
	return n, err
}

func (me *Meter) count(bytes int) {
	if bytes > 0 {
		me.bytes.Add(int64(bytes))
		me.transfers.Add(1)
	}
}
