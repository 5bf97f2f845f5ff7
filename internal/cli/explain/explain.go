// Package explain is the command `citronstream explain`.
package explain

import (
	"fmt"
	"io"
	"os"

	"github.com/citronstream/citronstream/internal/observe/story"
)

// Command prints the log lines that belong to a request.
type Command struct {
	Request string   `arg:"" help:"Identifier of the request."`
	Logs    []string `arg:"" optional:"" help:"Logs of gateways; without any, standard input." type:"existingfile"`
}

// Run implements the command.
func (co *Command) Run(out io.Writer) error {
	sr := story.New()
	if len(co.Logs) == 0 {
		if err := sr.Read(os.Stdin); err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
	}
	for _, name := range co.Logs {
		if err := read(sr, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	lines := sr.Of(co.Request)
	if len(lines) == 0 {
		return fmt.Errorf("no line has the request %q (%d lines are not log lines of a gateway)", co.Request, sr.Skipped())
	}
	for _, li := range lines {
		if _, err := fmt.Fprintln(out, li); err != nil {
			return err
		}
	}
	return nil
}

func read(sr *story.Story, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return sr.Read(file)
}
