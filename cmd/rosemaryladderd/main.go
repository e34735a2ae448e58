// Command rosemaryladderd is the node daemon. One process runs on the host of each
// backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"rosemaryladder.dev/rosemaryladder/internal/node"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/settings"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
	"rosemaryladder.dev/rosemaryladder/platform"
)

// arguments holds the arguments of the daemon.
type arguments struct {
	Settings  string `arg:"positional,required" help:"settings file (docs/SETTINGS.md)"`
	Check     bool   `arg:"--check" help:"validate the settings and exit"`
	LogFormat string `arg:"--log-format" help:"text or json; overrides the settings"`
}

// Description is printed above the help.
func (arguments) Description() string {
	return "rosemaryladderd proxies calls and keeps the configuration up to date on one host."
}

// Version is printed by --version.
func (arguments) Version() string { return telemetry.Version("rosemaryladderd") }

// Epilogue is printed below the help.
func (arguments) Epilogue() string {
	return "Example: rosemaryladderd --check /etc/rosemaryladder/node.ini"
}

func main() {
	if err := run(); err != nil {
		os.Exit(result.Print(os.Stderr, err))
	}
}

func run() error {
	var args arguments
	arg.MustParse(&args)
	loaded, err := settings.Load(args.Settings)
	if err != nil {
		return err
	}
	if args.LogFormat != "" {
		loaded.Log.Format = args.LogFormat
		if err := loaded.Validate(args.Settings); err != nil {
			return err
		}
	}
	if args.Check {
		fmt.Println(args.Settings + ": valid")
		return nil
	}
	return serve(loaded)
}

func serve(loaded settings.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	level, err := logrus.ParseLevel(loaded.Log.Level)
	if err != nil {
		return result.Wrap(err, result.SettingsInvalid, "section [log]: key %q", "level")
	}
	log := telemetry.NewLogger(os.Stderr, telemetry.LogFormat(loaded.Log.Format), level, loaded.Node.Host)
	daemon, err := node.New(loaded, platform.Open, log)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
