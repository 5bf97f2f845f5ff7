// Package explain is the command `citronstream explain`.
package explain

import (
	"fmt"
	"io"
	"os"

	"github.com/citronstream/citronstream/internal/observe/logsearch"
)

// Command prints the log lines that belong to a request.
type Command struct {
	Request string   `arg:"" help:"Identifier of the request."`
	Logs    []string `arg:"" optional:"" help:"Logs of gateways; without any, standard input." type:"existingfile"`
}

// Run implements the command.
func (co *Command) Run(out io.Writer) error {
	ix := logsearch.New()
	if len(co.Logs) == 0 {
		if err := ix.Read(os.Stdin); err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
	}
	for _, name := range co.Logs {
		if err := read(ix, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	lines := ix.ForRequest(co.Request)
	if len(lines) == 0 {
		return fmt.Errorf("no log line belongs to request %q (skipped %d lines that are not gateway log lines)", co.Request, ix.Skipped())
	}
	for _, li := range lines {
		if _, err := fmt.Fprintln(out, li); err != nil {
			return err
		}
	}
	return nil
}

func read(ix *logsearch.Index, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return ix.Read(file)
}
