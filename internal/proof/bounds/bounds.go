// Package bounds compares the output of go test -bench with the bounds of
// bounds.json.
package bounds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Bound is a target for one figure. Targets come from the requirements, never
// from a measurement.
type Bound struct {
	Figure    string `json:"Figure"`
	Benchmark string `json:"Benchmark,omitempty"` // without the suffix of GOMAXPROCS
	Unit      string `json:"Unit,omitempty"`
	// Plus names units of the same benchmark that are added to the figure.
	Plus []string `json:"Plus,omitempty"`
	// Over names a benchmark of the same run by whose figure it is divided.
	Over string `json:"Over,omitempty"`
	// Max and Min are the target. A figure without either is only shown.
	Max *float64 `json:"Max,omitempty"`
	Min *float64 `json:"Min,omitempty"`
	// Margin multiplies Max, or divides Min, of figures that noise of the machine reaches. 0 means 1.
	Margin float64 `json:"Margin,omitempty"`
	// CI says that the figure does not depend on the speed of the machine, so
	// that an ordinary test checks it too.
	CI     bool   `json:"CI,omitempty"`
	Source string `json:"Source"`
}

// Bounds is the document bounds.json.
type Bounds struct {
	Bounds []Bound `json:"Bounds"`
}

// Read reads a bounds document.
func Read(path string) (*Bounds, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	bs := &Bounds{}
	return bs, json.Unmarshal(data, bs)
}

// Holds says whether a value keeps the bound, and its ratio to the target; a
// ratio above 1 is on the wrong side.
func (bo *Bound) Holds(value float64) (holds bool, ratio float64) {
	margin := bo.Margin
	if margin == 0 {
		margin = 1
	}
	switch {
	case bo.Max != nil && *bo.Max == 0:
		return value == 0, value
	case bo.Max != nil:
		ratio = value / *bo.Max
	case bo.Min != nil && value == 0:
		return false, 0
	case bo.Min != nil:
		ratio = *bo.Min / value
	}
	return ratio <= margin, ratio
}

// Results maps a benchmark and a unit to the value.
type Results map[string]map[string]float64

// Parse reads the output of go test -bench. Of several lines of one benchmark
// the last counts.
func Parse(rd io.Reader) (Results, error) {
	got := make(Results)
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		fields := strings.Fields(sc.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := fields[0]
		if at := strings.LastIndex(name, "-"); at > 0 {
			if _, err := strconv.Atoi(name[at+1:]); err == nil {
				name = name[:at]
			}
		}
		got[name] = make(map[string]float64)
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			got[name][fields[i+1]] = value
		}
	}
	return got, sc.Err()
}

// value finds the figure of a bound.
func (re Results) value(bo *Bound) (float64, bool) {
	value, ok := re[bo.Benchmark][bo.Unit]
	for _, unit := range bo.Plus {
		value += re[bo.Benchmark][unit]
	}
	if bo.Over != "" {
		over, found := re[bo.Over][bo.Unit]
		return value / over, ok && found && over != 0
	}
	return value, ok
}

// Table writes a line for each bound and returns how many are broken or were
// not measured. Figures of packages that were not run count as not measured.
func (bs *Bounds) Table(wr io.Writer, re Results) (broken int, err error) {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "figure\tmeasured\ttarget\tratio\tverdict")
	for i := range bs.Bounds {
		bo := &bs.Bounds[i]
		value, ok := re.value(bo)
		if !ok && bo.Benchmark == "" {
			continue // only the test measures it
		}
		verdict, target := "holds", "none stated"
		holds, ratio := bo.Holds(value)
		switch {
		case bo.Max != nil:
			target = "<= " + strconv.FormatFloat(*bo.Max, 'g', 6, 64)
		case bo.Min != nil:
			target = ">= " + strconv.FormatFloat(*bo.Min, 'g', 6, 64)
		}
		switch {
		case !ok:
			verdict = "NOT MEASURED"
		case bo.Max == nil && bo.Min == nil:
			verdict = "-"
		case !holds:
			verdict = "BROKEN"
		case ratio > 1:
			verdict = fmt.Sprintf("within the margin of %g", bo.Margin)
		}
		if verdict == "BROKEN" || verdict == "NOT MEASURED" {
			broken++
		}
		_, _ = fmt.Fprintf(tw, "%s\t%.4g %s\t%s\t%.3g\t%s\n", bo.Figure, value, bo.unit(), target, ratio, verdict)
	}
	return broken, tw.Flush()
}

func (bo *Bound) unit() string {
	if bo.Over != "" {
		return "times"
	}
	return bo.Unit
}
