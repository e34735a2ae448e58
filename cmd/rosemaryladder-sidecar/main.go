// Command rosemaryladder-sidecar is the node daemon of the users' platform. One
// process runs on the host of each backend server.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/registry"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/settings"
	"rosemaryladder.dev/rosemaryladder/internal/sidecar"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
	"rosemaryladder.dev/rosemaryladder/platform"
)

// gcPercent is the heap growth in percent that triggers a garbage collection. Peak
// memory is expensive on the users' platform, and the CPU is mostly idle.
const gcPercent = 40

// logLinesPerSecond is the maximum rate of log lines of a node under load.
const logLinesPerSecond = 400

// arguments holds the arguments of the daemon.
type arguments struct {
	Settings string `arg:"positional,env:ROSEMARYLADDER_CONFIG,required" help:"settings file (docs/SETTINGS.md)"`
	Check    bool   `arg:"--check" help:"validate the settings and exit"`
}

// Description is printed above the help.
func (arguments) Description() string {
	return "rosemaryladder-sidecar proxies the requests of one host and of the backend server on it."
}

// Version is printed by --version.
func (arguments) Version() string { return telemetry.Version("rosemaryladder-sidecar") }

func main() {
	// Without a handler a SIGHUP during the start would terminate the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	if err := run(reloads); err != nil {
		os.Exit(result.Print(os.Stderr, err))
	}
}

func run(reloads <-chan os.Signal) error {
	var args arguments
	arg.MustParse(&args)
	watch := settings.NewWatch(args.Settings)
	loaded, err := settings.LoadSidecar(args.Settings)
	if err != nil {
		return err
	}
	if args.Check {
		fmt.Println(args.Settings + ": valid")
		return nil
	}
	return serve(args.Settings, loaded, reloads, watch)
}

func serve(path string, loaded settings.Sidecar, reloads <-chan os.Signal, watch *settings.Watch) error {
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	level, err := logrus.ParseLevel(loaded.Log.Level)
	if err != nil {
		return result.Wrap(err, result.SettingsInvalid, "section [log]: key %q", "level")
	}
	out := telemetry.NewAsyncWriter(os.Stdout, logLinesPerSecond)
	defer out.Close()
	log := telemetry.NewLogger(out, telemetry.LogFormat(loaded.Log.Format), level, loaded.Node.Host)
	node, err := sidecar.New(loaded, adapter(), log)
	if err != nil {
		return err
	}
	go reload(path, reloads, watch, node, log)
	return node.Run(ctx)
}

// watchInterval is the time between two looks at the settings file. A change without a
// signal is in force after two of them.
const watchInterval = time.Second

// reload reloads the settings on each signal, and when the file has changed without one.
// Invalid settings are logged and the previous ones stay in force.
func reload(path string, signals <-chan os.Signal, watch *settings.Watch, node *sidecar.Sidecar, log *logrus.Entry) {
	ticker := time.NewTicker(watchInterval)
	for {
		select {
		case <-signals:
			watch.Loading()
		case <-ticker.C:
			if !watch.Changed() {
				continue
			}
			log.Info("settings file has changed without a signal")
		}
		loaded, err := settings.LoadSidecar(path)
		if err != nil {
			log.WithError(err).Warn("changed settings rejected; the previous ones stay in force")
			continue
		}
		node.Reload(loaded)
	}
}

// adapter returns the adapter of the users' platform.
func adapter() sidecar.Adapter {
	return sidecar.Adapter{
		HeaderNames:         platform.HeaderNames(),
		ConfigurationKey:    platform.ConfigurationKey,
		EntriesPrefix:       platform.EntriesPrefix,
		WatchPrefix:         platform.WatchPrefix,
		DecodeConfiguration: platform.DecodeConfiguration,
		NewStore: func(address string, transport http.RoundTripper, log *logrus.Entry, scope tally.Scope) registry.Store {
			return platform.NewStore(address, transport, log, scope)
		},
		AnnouncementHandler: func(tracker *instance.Tracker, address string, log *logrus.Entry, scope tally.Scope) http.Handler {
			return platform.NewCheckInHandler(tracker, address, log, scope)
		},
		ReadinessHandler: platform.NewReadinessHandler,
	}
}
