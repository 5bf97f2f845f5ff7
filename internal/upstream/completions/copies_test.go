package completions

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// refusingEngine refuses its first command, and writes that refusal once more before the
// answers to later commands on the same connection.
type refusingEngine struct {
	ln      net.Listener
	refusal string

	mu       sync.Mutex
	commands int
	conns    sync.WaitGroup
}

func startRefusingEngine(t *testing.T, refusal string) *refusingEngine {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	en := &refusingEngine{ln: ln, refusal: refusal}
	en.conns.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			en.conns.Go(func() { en.serve(nc) })
		}
	})
	return en
}

// stop waits until the callers have closed their connections.
func (en *refusingEngine) stop() {
	_ = en.ln.Close()
	en.conns.Wait()
}

func (en *refusingEngine) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	refused := false
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, rq.Body)
		if rq.Method == http.MethodGet {
			fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"data\":[]}")
			continue
		}
		en.mu.Lock()
		en.commands++
		first := en.commands == 1
		en.mu.Unlock()
		if first || refused {
			fmt.Fprint(nc, en.refusal)
		}
		if refused = refused || first; !first {
			fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}
}

// Guards against a copy of an engine's refusal that is taken for the answer to a later
// command, which would count as not run though the engine runs it.
func TestCopyOfARefusedCommand(t *testing.T) {
	for name, refusal := range map[string]string{
		"without a body": "HTTP/1.1 412 Stale\r\nContent-Length: 0\r\n\r\n",
		"with a body":    "HTTP/1.1 412 Stale\r\nContent-Length: 5\r\n\r\nstale",
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			en, pr := startRefusingEngine(t, refusal), New()
			defer en.stop()
			defer pr.cl.Close()
			order := citronstream.EngineOrder{Models: []string{"a"}, Token: 6}
			assertFault(t, pr.Order(ctx, en.ln.Addr().String(), order), citronstream.NotRun, citronstream.CodeStale)
			order.Token = 7
			assert.NoError(t, pr.Order(ctx, en.ln.Addr().String(), order))
		})
	}
}
