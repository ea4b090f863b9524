// Command rhubarbd is the daemon that runs beside the target on each host.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/daemon"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/profile"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	exitFailed = 1
	exitUsage  = 2
	logMode    = 0o644
	// gcPercent trades a larger heap for lower tail latency: while the garbage
	// collector marks, it takes processors from requests. GOGC in the
	// environment overrides it.
	gcPercent = 400
)

func main() {
	var path string
	command := &cobra.Command{
		Use:           "rhubarbd --settings FILE",
		Short:         "Route callers' requests to the targets that own their keys",
		Long:          "rhubarbd runs beside each target. It takes callers' requests, sends each to the daemon of the\nkey's owner, and limits and orders the requests that reach the target on its own host. SIGTERM\nstarts a planned stop.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(path) },
	}
	command.Flags().StringVar(&path, "settings", "", "JSON file with the daemon's settings")
	if err := command.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "rhubarbd:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if _, ok := err.(*result.Error); ok {
		return exitUsage
	}
	return exitFailed
}

func run(path string) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	daemon.LimitHeap(s)
	out, err := openLog(s.Log.File)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	level, err := eventlog.ParseLevel(s.Log.Level)
	if err != nil {
		return err
	}
	if s.DebugAddress != "" {
		profiles, err := profile.Serve(s.DebugAddress)
		if err != nil {
			return err
		}
		defer profiles.Close()
	}
	process := daemon.NewProcess(s)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for {
		restart, err := runSession(process, s.Host, out, level, signals)
		if err != nil || !restart {
			return err
		}
	}
}

// runSession runs the daemon for one session. It returns true if the session
// ended and no signal came meanwhile, so that a new session must be started.
func runSession(p *daemon.Process, name host.ID, out io.Writer, level event.Level, signals <-chan os.Signal) (bool, error) {
	registry := metrics.NewRegistry()
	log := eventlog.New(out, level, name, registry)
	defer log.Close()
	d := daemon.New(p, log, registry)
	if err := d.Start(); err != nil {
		return false, err
	}
	return d.Run(signals), nil
}

func openLog(path string) (io.WriteCloser, error) {
	if path == "" {
		return os.Stderr, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, &result.Error{Code: result.BadSettings, Field: "log.file", Cause: err, Remedy: "name a file that can be written"}
	}
	return f, nil
}
