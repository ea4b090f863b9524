// Command rhubarb-sidecar is the daemon for its users' platform. One process runs
// on each host, beside the target.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
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
	exitFailed = 1
	exitUsage  = 2
	// gcPercent trades CPU time for a smaller heap: memory is scarce on these
	// hosts.
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
		return exitUsage
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
	p := &process{settingsPath: path, settings: s, daemons: daemon.NewProcess(s.Daemon), level: level, stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(p.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(p.reload, syscall.SIGHUP)
	for {
		restart, err := p.runSession()
		if err != nil || !restart {
			return err
		}
	}
}

// process is the state that outlives a session. What a daemon must know of the
// sessions before it is in daemons.
type process struct {
	settingsPath string
	settings     *platform.Settings
	daemons      *daemon.Process
	level        event.Level
	stop         chan os.Signal // SIGTERM and SIGINT: stop.
	reload       chan os.Signal // SIGHUP: read the settings again.
}

// runSession runs the daemon for one session. It returns true if the session
// ended without a stop signal and another one must be started.
func (p *process) runSession() (bool, error) {
	s := p.settings
	registry := metrics.NewRegistry()
	log := eventlog.New(os.Stdout, p.level, s.Daemon.Host, registry)
	defer log.Close()
	reportBadObject := func(object string, err error) {
		log.Event(event.BadObject, "object", object, "cause", err.Error())
	}
	store := platform.NewStore(s, reportBadObject)
	d := daemon.New(p.daemons, log, registry,
		daemon.WithStore(store),
		daemon.WithProtocol(platform.NewCallerProtocol(s)),
		daemon.WithTargetFactory(func(a control.Announcement) daemon.Target {
			return platform.NewTarget(a, s.App.Slices)
		}))
	if err := d.Start(); err != nil {
		return false, err
	}
	server := platform.NewServer(s, d, reportBadObject)
	if err := server.Start(); err != nil {
		d.Close()
		return false, err
	}
	defer server.Stop()
	done := make(chan struct{})
	defer close(done)
	go p.watchSettings(log, store, done)
	select {
	case <-p.stop:
		d.Stop()
		return false, nil
	case <-d.SessionEnded():
		d.StopAfterSessionEnd()
		return true, nil
	}
}

// watchSettings applies changed settings until done is closed. Only the store
// client uses them without a restart.
func (p *process) watchSettings(log *eventlog.Log, store *platform.Store, done <-chan struct{}) {
	changed := func(next *platform.Settings) {
		restart := strings.Join(p.settings.NeedsRestart(next), " ")
		log.Event(event.SettingsReloaded, "store", next.Daemon.StoreAddress, "needs_restart", restart)
		store.Reload(next)
	}
	platform.WatchSettings(p.settingsPath, p.reload, done, changed, func(err error) {
		log.Event(event.SettingsRefused, "cause", err.Error())
	})
}
