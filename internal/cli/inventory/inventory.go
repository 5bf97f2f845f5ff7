// Package inventory is the command `citronstream inventory`, which imports asset registers.
package inventory

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/assetcsv"
	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/config/settings"
)

// Command is `citronstream inventory`.
type Command struct {
	Import Import `cmd:"" help:"Merge an asset register in CSV into a settings document."`
}

// Import is `citronstream inventory import`.
type Import struct {
	Register string            `arg:"" help:"Asset register in CSV."`
	Settings string            `required:"" help:"Settings document with the Fleet to merge into."`
	Column   map[string]string `help:"Header of a column, as in asset_id=Asset." placeholder:"COLUMN=HEADER"`

	out         io.Writer
	diagnostics io.Writer
	checker     *check.Checker
}

// Option changes a Command.
type Option func(*Command)

// WithOutput sets where the document goes; the default is standard output.
func WithOutput(wr io.Writer) Option { return func(co *Command) { co.Import.out = wr } }

// WithDiagnostics sets where the report and the faults go; the default is standard error.
func WithDiagnostics(wr io.Writer) Option { return func(co *Command) { co.Import.diagnostics = wr } }

// WithChecker sets the checker that is applied to the merged document.
func WithChecker(ch *check.Checker) Option { return func(co *Command) { co.Import.checker = ch } }

// New returns a Command that kong can parse arguments into.
func New(opts ...Option) *Command {
	co := &Command{Import: Import{out: os.Stdout, diagnostics: os.Stderr, checker: check.New()}}
	for _, opt := range opts {
		opt(co)
	}
	return co
}

// Run writes the merged document. If the register or the result has faults, it
// lists them in the diagnostics and writes no document.
func (im *Import) Run() error {
	opts, err := im.columns()
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(im.Settings)
	if err != nil {
		return err
	}
	se, faults, _ := settings.Decode(raw)
	if err := printFaults(im, im.Settings, faults, check.Failed(faults)); err != nil {
		return err
	}
	if se.Fleet == nil {
		return fmt.Errorf("%s: Fleet: missing", im.Settings)
	}
	fl, err := im.merge(*se.Fleet, opts)
	if err != nil {
		return err
	}
	found := im.checker.Inventory(&fl)
	if err := printFaults(im, "result", found, check.Failed(found)); err != nil {
		return err
	}
	se.Fleet = &fl
	doc, err := se.Encode()
	if err != nil {
		return err
	}
	_, err = im.out.Write(doc)
	return err
}

// columns returns the importer options for the headers given by --column.
func (im *Import) columns() ([]assetcsv.Option, error) {
	var opts []assetcsv.Option
	for column, header := range im.Column {
		if !slices.Contains(assetcsv.Columns(), column) {
			return nil, fmt.Errorf("--column: unknown column %q, known: %s", column, strings.Join(assetcsv.Columns(), ", "))
		}
		opts = append(opts, assetcsv.WithColumn(column, header))
	}
	return opts, nil
}

// merge imports the register into the fleet and writes a summary to the diagnostics.
func (im *Import) merge(fl citronstream.Fleet, opts []assetcsv.Option) (citronstream.Fleet, error) {
	register, err := os.Open(im.Register)
	if err != nil {
		return fl, err
	}
	defer register.Close()
	fl, report, faults := assetcsv.New(opts...).Import(register, fl)
	if err := printFaults(im, im.Register, faults, len(faults) > 0); err != nil {
		return fl, err
	}
	ignored := "none"
	if len(report.IgnoredColumns) > 0 {
		ignored = strings.Join(report.IgnoredColumns, ", ")
	}
	_, err = fmt.Fprintf(im.diagnostics, "%s: %d lines, %d blank, %d added, %d replaced, %d unchanged; ignored columns: %s\n",
		im.Register, report.Rows, report.BlankLines, len(report.Added), len(report.Replaced), report.Unchanged, ignored)
	return fl, err
}

// printFaults writes the faults to the diagnostics and returns an error if they are fatal.
func printFaults[F fmt.Stringer](im *Import, name string, faults []F, fatal bool) error {
	for _, fa := range faults {
		if _, err := fmt.Fprintf(im.diagnostics, "%s: %s\n", name, fa); err != nil {
			return err
		}
	}
	if fatal {
		return fmt.Errorf("%s: %d faults, nothing imported", name, len(faults))
	}
	return nil
}
