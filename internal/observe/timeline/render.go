package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/citronstream/citronstream"
)

// WriteText writes events as a table. The number after "+" is the clock's counter.
func WriteText(w io.Writer, events []citronstream.Event) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := fmt.Fprintln(tw, "AT\tPROCESS\tKIND\tREQUEST\tATTEMPT\tUPSTREAM\tVERDICT\tCOST\tDETAIL"); err != nil {
		return err
	}
	for _, ev := range events {
		cost := ""
		if ev.Cost != 0 {
			cost = strconv.FormatFloat(ev.Cost, 'g', 6, 64)
		}
		fields := []string{
			Time(ev.At).Format("2006-01-02T15:04:05.000Z") + "+" + strconv.Itoa(int(ev.At&(1<<counterBits-1))),
			ev.Process, ev.Kind, ev.RequestID, ev.AttemptID, ev.Upstream, ev.Verdict, cost, ev.Detail,
		}
		for i, field := range fields {
			fields[i] = printable(field)
		}
		if _, err := fmt.Fprintln(tw, strings.Join(fields, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// printable quotes untrusted text, such as error messages, that could break
// the table or control the terminal.
func printable(text string) string {
	if text == "" {
		return "-"
	}
	if strings.ContainsFunc(text, func(ru rune) bool { return !unicode.IsPrint(ru) }) {
		return strconv.Quote(text)
	}
	return text
}

// WriteJSON writes events as JSON, one event a line.
func WriteJSON(w io.Writer, events []citronstream.Event) error {
	enc := json.NewEncoder(w)
	for _, ev := range events {
		if err := enc.Encode(ev); err != nil {
			return err
		}
	}
	return nil
}
