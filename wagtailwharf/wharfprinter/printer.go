package wharfprinter

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

const columnGap = 2

// Table prints aligned columns with a header if the output is a terminal, and tab-separated rows without a header
// otherwise.
func Table(streams *wharfstreams.Streams, header []string, rows [][]string) error {
	if !streams.Terminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(streams.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	writer := tabwriter.NewWriter(streams.Out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// JSON prints value as indented JSON.
func JSON(streams *wharfstreams.Streams, value any) error {
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
