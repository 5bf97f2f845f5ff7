package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// crashDelay is the time between the last event of an answer and the crash.
const crashDelay = 20 * time.Millisecond

// Crash breaks all connections, closes the listener and drops all results.
func (up *Upstream) Crash() {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.crashed {
		return
	}
	up.crashed = true
	clear(up.results)
	_ = up.Listener.Close()
	up.CloseClientConnections()
}

// Crashed reports whether the upstream is down.
func (up *Upstream) Crashed() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.crashed
}

// Restart starts a crashed upstream as a new process at the same address. It has to
// be listed again.
func (up *Upstream) Restart() error {
	up.mu.Lock()
	defer up.mu.Unlock()
	ln, err := net.Listen("tcp", up.address)
	if err != nil {
		return err
	}
	up.startedMs = max(up.startedMs+1, up.clk.Now().UnixMilli())
	up.Listener, up.crashed = ln, false
	go func() { _ = up.Config.Serve(ln) }() // ends when the listener is closed
	return nil
}

// crashWithin begins an answer and crashes.
func (up *Upstream) crashWithin(wr http.ResponseWriter, rq *http.Request) {
	events := int(up.CrashAfter.Load())
	switch {
	case events > 0 && strings.Contains(rq.URL.Path, "/stream"):
		first, _ := strconv.Atoi(rq.Header.Get(HeaderLastEvent))
		wr.Header().Set("Content-Type", "text/event-stream")
		for id := first + 1; id <= first+events; id++ {
			_, _ = fmt.Fprintf(wr, "id: %d\ndata: token %d\n\n", id, id) // fails only if the caller disconnected
		}
	case events > 0:
		wr.Header().Set("Content-Length", "20")
		_, _ = io.WriteString(wr, "half of it")
	}
	wr.(http.Flusher).Flush()
	if events > 0 {
		<-up.clk.After(crashDelay) // until what was sent has arrived
	}
	up.Crash()
	panic(http.ErrAbortHandler)
}
