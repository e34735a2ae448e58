package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const program = "rosemaryladder"

// nodeEnvVar is the environment variable with the addresses of the nodes to query.
// It is not declared in Args, because go-arg would join it with --node instead of
// letting --node replace it.
const nodeEnvVar = "ROSEMARYLADDER_NODE"

// Streams holds the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is set when Err is a terminal. Progress is shown only then.
	Terminal bool
}

// Run runs the tool with the arguments and returns its exit status.
func Run(ctx context.Context, arguments []string, streams Streams) int {
	var args Args
	parser, err := arg.NewParser(arg.Config{Program: program}, &args)
	if err != nil {
		return (&command{streams: streams}).fail(result.Wrap(err, result.Internal, "define the command-line arguments"))
	}
	err = parser.Parse(arguments)
	if len(args.Node) == 0 {
		args.Node = nodesFromEnvironment()
	}
	names := parser.SubcommandNames()
	command := &command{args: args, streams: streams}
	switch {
	case errors.Is(err, arg.ErrHelp):
		err = command.help(parser, names)
	case errors.Is(err, arg.ErrVersion):
		command.line("%s", args.Version())
		err = nil
	case err != nil:
		err = result.Wrap(err, result.Usage, "%s", strings.TrimSpace(program+" "+strings.Join(names, " ")))
	default:
		err = command.run(ctx, strings.Join(names, " "))
	}
	if err != nil {
		return command.fail(err)
	}
	return int(result.OK)
}

func (c *command) help(parser *arg.Parser, names []string) error {
	if err := parser.WriteHelpForSubcommand(c.streams.Out, names...); err != nil {
		return result.Wrap(err, result.Internal, "write the help")
	}
	if example, found := examples[strings.Join(names, " ")]; found {
		c.line("\nExample:\n  %s", example)
	}
	return nil
}

// fail prints an error with its code and the next step for the operator, and
// returns the exit status.
func (c *command) fail(err error) int {
	entry := result.Describe(result.CodeOf(err))
	if c.args.Output == OutputJSON {
		problem := operator.Problem{Code: entry.Code, Name: entry.Name, Message: err.Error(), Next: entry.Next}
		_ = writeJSON(c.streams.Err, problem)
		return int(entry.Code)
	}
	fmt.Fprintf(c.streams.Err, "error %d (%s): %v\n%s\n", entry.Code, entry.Name, err, entry.Next)
	return int(entry.Code)
}

// nodesFromEnvironment returns the addresses in nodeEnvVar, separated by commas or
// spaces.
func nodesFromEnvironment() []string {
	return strings.FieldsFunc(os.Getenv(nodeEnvVar), func(r rune) bool { return r == ',' || r == ' ' })
}
