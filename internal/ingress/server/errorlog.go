package server

import (
	"log"

	"github.com/go-logr/logr"
)

// maxReport bounds the logged text of an error, in bytes. That of a panic has its stack.
const maxReport = 8 << 10

// ErrorLog returns the ErrorLog of an HTTP server that logs to lo.
func ErrorLog(lo logr.Logger) *log.Logger { return log.New(reporter{lo}, "", 0) }

// reporter logs each write as an error of an HTTP server.
type reporter struct{ log logr.Logger }

// Write implements io.Writer.
func (re reporter) Write(text []byte) (int, error) {
	re.log.Error(nil, "HTTP server reported an error", "reason", string(text[:min(len(text), maxReport)]))
	return len(text), nil
}
