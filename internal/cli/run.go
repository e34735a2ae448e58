package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const program = "rosemaryladder"

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is set when Err is a terminal; progress is shown only then.
	Terminal bool
}

// Run runs the tool and returns its exit status.
func Run(ctx context.Context, arguments []string, streams Streams) int {
	var args Args
	parser, err := arg.NewParser(arg.Config{Program: program}, &args)
	if err != nil {
		return fail(streams, result.Wrap(err, result.Internal, "define the arguments"))
	}
	err = parser.Parse(arguments)
	names := parser.SubcommandNames()
	if errors.Is(err, arg.ErrHelp) {
		return help(parser, names, streams)
	}
	if err != nil {
		return fail(streams, result.Wrap(err, result.Usage, "%s %s", program, strings.Join(names, " ")))
	}
	command := &command{args: args, streams: streams}
	if err := command.run(ctx, strings.Join(names, " ")); err != nil {
		return fail(streams, err)
	}
	return int(result.OK)
}

func help(parser *arg.Parser, names []string, streams Streams) int {
	if err := parser.WriteHelpForSubcommand(streams.Out, names...); err != nil {
		return fail(streams, result.Wrap(err, result.Internal, "write the help"))
	}
	if example, found := examples[strings.Join(names, " ")]; found {
		fmt.Fprintf(streams.Out, "\nExample:\n  %s\n", example)
	}
	return int(result.OK)
}

// fail prints an error with its code and what to do next.
func fail(streams Streams, err error) int {
	entry := result.Describe(result.CodeOf(err))
	fmt.Fprintf(streams.Err, "error %d (%s): %v\n%s\n", entry.Code, entry.Name, err, entry.Next)
	return int(entry.Code)
}
