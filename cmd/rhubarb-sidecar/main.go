// Command rhubarb-sidecar is the daemon on its users' platform. It runs beside
// each application server.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/daemon"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/platform"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	exitFailed   = 1
	exitSettings = 2
	// gcPercent keeps the heap small: memory is dear on these hosts.
	gcPercent = 50
)

func main() {
	command := &cobra.Command{
		Use:           "rhubarb-sidecar",
		Short:         "Route callers' requests to the servers that own their keys, on the users' platform",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run() },
	}
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "rhubarb-sidecar:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if _, ok := err.(*result.Error); ok {
		return exitSettings
	}
	return exitFailed
}

func run() error {
	debug.SetGCPercent(gcPercent)
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	level, err := eventlog.ParseLevel(s.Daemon.Log.Level)
	if err != nil {
		return err
	}
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP)
	for {
		again, err := live(s, level, asked)
		if err != nil || !again {
			return err
		}
	}
}

// live runs the daemon for the time of one session. It returns true if the
// session ended without being asked to, so that another is due.
func live(s *platform.Settings, level event.Level, asked <-chan os.Signal) (bool, error) {
	registry := metrics.NewRegistry()
	log := eventlog.New(os.Stdout, level, s.Daemon.Host, registry)
	defer log.Close()
	bad := func(object string, err error) {
		log.Event(event.BadObject, "object", object, "cause", err.Error())
	}
	d := daemon.New(s.Daemon, log, registry,
		daemon.WithStore(platform.NewStore(s, bad)),
		daemon.WithProtocol(platform.NewCallers(s)),
		daemon.WithTargets(func(a control.Announcement) daemon.Target {
			return platform.NewTarget(a, s.App.Slices)
		}))
	if err := d.Start(); err != nil {
		return false, err
	}
	server := platform.NewServer(s, d, bad)
	if err := server.Start(); err != nil {
		d.Close()
		return false, err
	}
	defer server.Stop()
	select {
	case <-asked:
		d.Stop()
		return false, nil
	case <-d.Ended():
		d.Abandon()
		return true, nil
	}
}
