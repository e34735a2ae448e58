package cli

import (
	"bytes"
	"context"
	"os"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// pageMode is the file mode of the HTML page.
const pageMode = 0o644

func (c *command) reportBurn(ctx context.Context) error {
	report, err := c.fetchBurn(ctx)
	if err != nil {
		return err
	}
	if err := writePage(c.args.Report.Burn.HTML, report); err != nil {
		return err
	}
	return c.print(report, func() {
		// A write fails only when the reader of the output has closed it.
		_ = report.WriteText(c.streams.Out)
	})
}

func (c *command) fetchBurn(ctx context.Context) (burn.Report, error) {
	return queryNodes(ctx, c, func(ctx context.Context, client *operator.Client) (burn.Report, error) {
		return client.Burn(ctx)
	})
}

// writePage writes the HTML page; an empty path writes none.
func writePage(path string, report burn.Report) error {
	if path == "" {
		return nil
	}
	var page bytes.Buffer
	if err := report.WriteHTML(&page); err != nil {
		return result.Wrap(err, result.Internal, "render the report")
	}
	if err := os.WriteFile(path, page.Bytes(), pageMode); err != nil {
		return result.Wrap(err, result.Usage, "write %s", path)
	}
	return nil
}
