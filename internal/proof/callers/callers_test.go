package callers

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/require"
)

// The clients of one test.
const (
	clients = 160
	// connections are those of the test of descriptors, more than the process may open.
	connections = 500
	headerBytes = 16 << 10
	bodyBytes   = 1 << 20
	// dripBytes is the length of bodies in chunks of one byte, each of which is sent as 6.
	dripBytes = 512 << 10
	// answerBytes is the length of answers that are not read.
	answerBytes = 1 << 20
)

// answer is what the upstream sends for requests to /look/big, and in short to others.
var answer http.HandlerFunc = func(wr http.ResponseWriter, rq *http.Request) {
	if strings.HasPrefix(rq.URL.Path, "/look/big") {
		_, _ = wr.Write(make([]byte, answerBytes)) // fails only if the gateway has left
		return
	}
	_, _ = wr.Write([]byte("short")) // the same
}

// head returns the start of a valid request, without the empty line at its end.
func head(path string, client int) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h\r\n", path)
	_ = site.CallerHeader(fmt.Sprint("c", client)).Write(&text)
	return text.String()
}

// filled returns a whole head that is filled up with lines to the limit.
func filled(client int, line func(i int) string) string {
	var text strings.Builder
	text.WriteString(head("/look/", client) + "Content-Length: 1\r\n")
	for i := 0; ; i++ {
		next := line(i)
		if text.Len()+len(next)+2 > headerBytes {
			return text.String() + "\r\n"
		}
		text.WriteString(next)
	}
}

// crowd runs clients that write and then stay, without reading anything, until the end of
// the test. What becomes of their requests is not looked at.
func (pr *process) crowd(count int, write func(client int, send func(text string) bool)) {
	var writing sync.WaitGroup
	for i := range count {
		nc, err := net.DialTimeout("tcp", pr.callers, patience)
		if err != nil {
			continue
		}
		pr.t.Cleanup(func() { _ = nc.Close() })
		require.NoError(pr.t, nc.SetWriteDeadline(clk.Now().Add(patience)))
		writing.Go(func() {
			write(i, func(text string) bool {
				_, err := nc.Write([]byte(text))
				return err == nil
			})
		})
	}
	writing.Wait()
}

// Guards against header maps that take many times the bytes of their heads. All heads are
// of legal size, and the requests lack the last byte of their bodies.
func TestHeaderLines(t *testing.T) {
	for name, line := range map[string]func(i int) string{
		"empty values":   func(i int) string { return fmt.Sprintf("%x:\r\n", i) },
		"one letter":     func(i int) string { return string(rune('a'+i%26)) + ":\r\n" },
		"repeated names": func(int) string { return "name: v\r\n" },
		"folded":         func(i int) string { return fmt.Sprintf("f%x: a\r\n b\r\n", i) },
		"obsolete bytes": func(i int) string { return fmt.Sprintf("o%x:\x80\xff\r\n", i) },
		"bare newlines":  func(i int) string { return fmt.Sprintf("%x:\n", i) },
	} {
		t.Run(name, func(t *testing.T) {
			ga := startGateway(t)
			ga.crowd(2*clients, func(client int, send func(string) bool) { send(filled(client, line)) })
			ga.check()
		})
	}
}

// Guards against bodies of legal size, which stop short of their end and stay, that
// together take more memory than the process has.
func TestBodies(t *testing.T) {
	body := strings.Repeat("x", bodyBytes-1)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)
	t.Run("whole", func(t *testing.T) {
		ga := startGateway(t)
		ga.crowd(clients, func(client int, send func(string) bool) { send(head("/look/", client) + length + body) })
		ga.check()
	})
	t.Run("in pieces", func(t *testing.T) {
		const pieces = 16
		ga := startGateway(t)
		ga.crowd(clients, func(client int, send func(string) bool) {
			send(head("/look/", client) + length)
			for i := range pieces {
				if !send(body[i*len(body)/pieces : (i+1)*len(body)/pieces]) {
					return
				}
				clk.Sleep(time.Millisecond)
			}
		})
		ga.check()
	})
}

// Guards against the same with bodies whose length is not told.
func TestChunkedBodies(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	check := func(name string, text string) {
		t.Run(name, func(t *testing.T) {
			ga := startGateway(t)
			ga.crowd(clients, func(client int, send func(string) bool) {
				begun := head("/look/", client) + chunked
				for rest := begun + text; len(rest) > 0; {
					part := rest[:min(len(rest), 64<<10)]
					if rest = rest[len(part):]; !send(part) {
						return
					}
				}
			})
			ga.check()
		})
	}
	check("large", strings.Repeat("10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", bodyBytes>>16-1)+"10000\r\n"+strings.Repeat("x", 64<<10-1))
	check("of one byte", strings.Repeat("1\r\nx\r\n", dripBytes))
	check("with extensions", strings.Repeat("1000;"+strings.Repeat("e", 1000)+"\r\n"+strings.Repeat("x", 4096)+"\r\n", bodyBytes>>12-1))
	check("with trailers", strings.Repeat("10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", bodyBytes>>16-1)+"0\r\n"+strings.Repeat("t: v\r\n", 600))
}

// Guards against answers that are kept for clients that do not read them.
func TestUnreadAnswers(t *testing.T) {
	ga := startGateway(t)
	ga.crowd(clients, func(client int, send func(string) bool) {
		for range 4 {
			if !send(head("/look/big/", client) + "Content-Length: 0\r\n\r\n") {
				return
			}
		}
	})
	ga.check()
}

// Guards against a listener that ends when the process has no descriptor left, and against
// connections of clients that leave none for the store, peers and upstreams.
func TestConnections(t *testing.T) {
	t.Run("without a request", func(t *testing.T) {
		ga := startGateway(t)
		ga.crowd(connections, func(int, func(string) bool) {})
		ga.check()
	})
	t.Run("with a part of a body", func(t *testing.T) {
		ga := startGateway(t)
		ga.crowd(connections, func(client int, send func(string) bool) {
			send(head("/look/", client) + "Content-Length: 2\r\n\r\nx")
		})
		ga.check()
	})
}

// Guards against memory or descriptors that are not given back: clients that leave in the
// middle of what they send come again and again.
func TestClientsThatLeave(t *testing.T) {
	ga := startGateway(t)
	var sent atomic.Int64
	for range 4 {
		var clientsLeft sync.WaitGroup
		for i := range clients {
			clientsLeft.Go(func() {
				nc, err := net.DialTimeout("tcp", ga.callers, patience)
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				_ = nc.SetWriteDeadline(clk.Now().Add(patience))
				if _, err := fmt.Fprintf(nc, "%sContent-Length: %d\r\n\r\n%s", head("/look/", i), bodyBytes, strings.Repeat("x", bodyBytes/2)); err == nil {
					sent.Add(1)
				}
			})
		}
		clientsLeft.Wait()
	}
	t.Logf("%d of %d sent half of their bodies", sent.Load(), 4*clients)
	ga.check()
}
