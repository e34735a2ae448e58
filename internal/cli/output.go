package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// print writes the value as JSON, or calls table, depending on --output.
func (c *command) print(value any, table func()) error {
	if c.args.Output == OutputTable {
		table()
		return nil
	}
	return writeJSON(c.streams.Out, value)
}

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return result.Wrap(err, result.Internal, "write the output")
	}
	return nil
}

// line writes one formatted line to the standard output.
func (c *command) line(format string, values ...any) {
	fmt.Fprintf(c.streams.Out, format+"\n", values...)
}

// table writes a header and rows in aligned columns.
func (c *command) table(header []string, rows [][]string) {
	writer := tabwriter.NewWriter(c.streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	writer.Flush()
}
