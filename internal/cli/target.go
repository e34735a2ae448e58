package cli

import (
	"context"
	"io"
	"os"
	"strconv"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

func (c *command) targetApply(ctx context.Context) error {
	args := c.args.Target.Apply
	data, err := c.readFile(args.File)
	if err != nil {
		return err
	}
	targets, err := config.ParseTargets(args.File, data)
	if err != nil {
		return err
	}
	var change config.Change
	for _, target := range targets {
		change.Targets = append(change.Targets, config.TargetUpsert{Target: target})
	}
	return c.change(ctx, args.ChangeArgs, change)
}

func (c *command) readFile(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(c.streams.In)
		return data, wrapRead(err, "standard input")
	}
	data, err := os.ReadFile(path)
	return data, wrapRead(err, path)
}

func wrapRead(err error, name string) error {
	if err == nil {
		return nil
	}
	return result.Wrap(err, result.Usage, "read %s", name)
}

func (c *command) targetDelete(ctx context.Context) error {
	args := c.args.Target.Delete
	return c.change(ctx, args.ChangeArgs, config.Change{DeleteTargets: []config.Deletion{{Name: args.Name}}})
}

func (c *command) targetList(ctx context.Context) error {
	document, err := c.fetchDocument(ctx)
	if err != nil {
		return err
	}
	return c.print(document, func() { c.printTargets(document) })
}

func (c *command) fetchDocument(ctx context.Context) (operator.Document, error) {
	return queryNodes(ctx, c, func(ctx context.Context, client *operator.Client) (operator.Document, error) {
		return client.Document(ctx)
	})
}

func (c *command) printTargets(document operator.Document) {
	var rows [][]string
	for _, target := range document.Targets {
		rows = append(rows, []string{
			target.Name, target.Service, strings.Join(target.Methods, ","), target.Path,
			strconv.FormatBool(target.Idempotent), target.Deadline.String(),
			formatPercent(target.LatencyPercent) + " within " + target.Latency.String(),
			formatPercent(target.SuccessPercent), string(target.Priority), strconv.FormatUint(target.ChangedAt, 10),
		})
	}
	c.table([]string{"TARGET", "SERVICE", "METHODS", "PATH", "IDEMPOTENT", "DEADLINE", "LATENCY", "SUCCESS", "PRIORITY", "VERSION"}, rows)
	c.line("version %d", document.Version)
}

func formatPercent(percent float64) string {
	return strconv.FormatFloat(percent, 'g', -1, 64) + " %"
}

func (c *command) targetShow(ctx context.Context) error {
	document, err := c.fetchDocument(ctx)
	if err != nil {
		return err
	}
	target, err := findTarget(document, c.args.Target.Show.Name)
	if err != nil {
		return err
	}
	return c.print(target, func() { c.line("%s", strings.TrimSuffix(config.PrintTargets([]config.Target{target}), "\n")) })
}

func findTarget(document operator.Document, name string) (config.Target, error) {
	for _, target := range document.Targets {
		if target.Name == name {
			return target, nil
		}
	}
	return config.Target{}, result.Errorf(result.NotFound, "target %q does not exist at version %d", name, document.Version)
}
