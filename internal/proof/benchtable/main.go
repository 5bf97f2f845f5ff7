// Command benchtable reads the output of go test -bench from standard input
// and writes a table against bounds.json. It fails if a bound is broken.
package main

import (
	"fmt"
	"os"

	"github.com/citronstream/citronstream/internal/proof/bounds"
)

func main() {
	broken, err := run()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if broken > 0 {
		_, _ = fmt.Fprintf(os.Stderr, "%d bounds are broken or were not measured\n", broken)
		os.Exit(1)
	}
}

func run() (int, error) {
	bs, err := bounds.Read("bounds.json")
	if err != nil {
		return 0, err
	}
	re, err := bounds.Parse(os.Stdin)
	if err != nil {
		return 0, err
	}
	return bs.Table(os.Stdout, re)
}
