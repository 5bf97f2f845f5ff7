// Package check is the command `citronstream check`, which checks settings documents.
package check

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/citronstream/citronstream/internal/config/check"
)

// maxReadBytes is one more than the largest document that the decoder accepts,
// so that the decoder reports a file that is too long.
const maxReadBytes = 16<<20 + 1

// Command is `citronstream check`.
type Command struct {
	Files []string `arg:"" name:"file" help:"Settings documents."`
	JSON  bool     `name:"json" help:"Write the faults as JSON."`

	out     io.Writer
	checker *check.Checker
}

// Option changes a Command.
type Option func(*Command)

// WithOutput sets where the faults go; the default is standard output.
func WithOutput(wr io.Writer) Option { return func(co *Command) { co.out = wr } }

// WithChecker sets the checker; the main program passes one that knows its plug-ins.
func WithChecker(ch *check.Checker) Option { return func(co *Command) { co.checker = ch } }

// New returns a Command that kong can parse arguments into.
func New(opts ...Option) *Command {
	co := &Command{out: os.Stdout, checker: check.New()}
	for _, opt := range opts {
		opt(co)
	}
	return co
}

// report is what --json writes for one file.
type report struct {
	File   string        `json:"File"`
	Failed bool          `json:"Failed"`
	Faults []check.Fault `json:"Faults"`
}

// Run checks the files. Its error names the number of files with faults;
// warnings alone are no error.
func (co *Command) Run() error {
	var reports []report
	failed := 0
	for _, file := range co.Files {
		re := report{File: file, Faults: []check.Fault{}}
		if data, err := read(file); err != nil {
			re.Faults = append(re.Faults, check.Fault{Text: err.Error()})
		} else {
			_, faults := co.checker.Settings(data)
			re.Faults = append(re.Faults, faults...)
		}
		re.Failed = check.Failed(re.Faults)
		if re.Failed {
			failed++
		}
		reports = append(reports, re)
	}
	if err := co.write(reports); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d files have faults", failed, len(reports))
	}
	return nil
}

// write prints the faults of each file.
func (co *Command) write(reports []report) error {
	if co.JSON {
		enc := json.NewEncoder(co.out)
		enc.SetIndent("", "  ")
		return enc.Encode(reports)
	}
	for _, re := range reports {
		for _, fa := range re.Faults {
			if _, err := fmt.Fprintf(co.out, "%s: %s\n", re.File, fa); err != nil {
				return err
			}
		}
		if len(re.Faults) == 0 {
			if _, err := fmt.Fprintf(co.out, "%s: no faults\n", re.File); err != nil {
				return err
			}
		}
	}
	return nil
}

func read(file string) ([]byte, error) {
	fi, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer fi.Close()
	return io.ReadAll(io.LimitReader(fi, maxReadBytes))
}
