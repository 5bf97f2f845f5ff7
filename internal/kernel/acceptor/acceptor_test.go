package acceptor

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeListener fails with its errors in turn, then returns connections.
type fakeListener struct {
	net.Listener
	errs []error
}

func (fl *fakeListener) Accept() (net.Conn, error) {
	if len(fl.errs) == 0 {
		nc, _ := net.Pipe()
		return nc, nil
	}
	err := fl.errs[0]
	fl.errs = fl.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func (fl *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }
func (fl *fakeListener) Close() error   { return nil }

func newTest(errs ...error) (*Listener, *clockwork.FakeClock, *[]string) {
	clk, lines := clockwork.NewFakeClock(), new([]string)
	log := funcr.New(func(_, args string) { *lines = append(*lines, args) }, funcr.Options{})
	return New(clk, log, &fakeListener{errs: errs}), clk, lines
}

// Guards against a listener that ends when the process has no descriptor left for a while.
func TestGoesOnAfterShortages(t *testing.T) {
	errs := []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS}
	li, clk, lines := newTest(errs...)
	accepted := make(chan error, 1)
	go func() {
		_, err := li.Accept()
		accepted <- err
	}()
	for wait := minWait; wait < minWait<<len(errs); wait *= 2 {
		require.NoError(t, clk.BlockUntilContext(t.Context(), 1))
		assert.Positive(t, li.Short())
		clk.Advance(wait)
	}
	require.NoError(t, <-accepted)
	assert.Zero(t, li.Short())
	assert.EqualValues(t, len(errs), li.Shortages())
	assert.Len(t, *lines, 2, "one line for the begin and one for the end")
}

// Guards against a pause that grows without bound, and against a log line for each shortage.
func TestShortagesAreBounded(t *testing.T) {
	li, clk, lines := newTest()
	for range 20 {
		assert.LessOrEqual(t, li.failed(syscall.EMFILE), maxWait)
	}
	li.accepted()
	li.failed(syscall.EMFILE)
	li.accepted()
	assert.Len(t, *lines, 2)
	clk.Advance(logInterval)
	assert.Equal(t, minWait, li.failed(syscall.EMFILE), "the pause begins anew")
	assert.Len(t, *lines, 3)
}

// A closed listener, or one past its deadline, ends.
func TestOtherErrorsEndIt(t *testing.T) {
	li, _, _ := newTest(os.ErrDeadlineExceeded)
	_, err := li.Accept()
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.False(t, passes(net.ErrClosed) || passes(errors.New("other")) || passes(syscall.EINVAL))
}

// Guards against a process that can't stop during a shortage.
func TestCloseEndsAPause(t *testing.T) {
	li, clk, _ := newTest(syscall.EMFILE)
	accepted := make(chan error, 1)
	go func() {
		_, err := li.Accept()
		accepted <- err
	}()
	require.NoError(t, clk.BlockUntilContext(t.Context(), 1))
	require.NoError(t, li.Close())
	assert.ErrorIs(t, <-accepted, net.ErrClosed)
}
