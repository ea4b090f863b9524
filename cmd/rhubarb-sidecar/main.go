// Command rhubarb-sidecar is the daemon for its users' platform. One process runs
// on each host, beside the target.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync/atomic"
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
	daemon.LimitHeap(s.Daemon)
	level, err := eventlog.ParseLevel(s.Daemon.Log.Level)
	if err != nil {
		return err
	}
	p := newProcess(path, s, level)
	signal.Notify(p.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(p.reload, syscall.SIGHUP)
	done := make(chan struct{})
	defer close(done)
	go p.watchSettings(done)
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
	settings     *platform.Settings // As read at the start.
	daemons      *daemon.Process
	store        *platform.Store // Follows the settings as they change.
	level        event.Level
	log          atomic.Pointer[eventlog.Log] // Of the session that runs, or ran last.
	stop         chan os.Signal               // SIGTERM and SIGINT: stop.
	reload       chan os.Signal               // SIGHUP: read the settings again.
}

func newProcess(path string, s *platform.Settings, level event.Level) *process {
	p := &process{settingsPath: path, settings: s, daemons: daemon.NewProcess(s.Daemon), level: level, stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	p.store = platform.NewStore(s, p.reportBadObject)
	return p
}

// event logs an event. Between two sessions, events are not logged.
func (p *process) event(id event.ID, fields ...any) {
	if log := p.log.Load(); log != nil {
		log.Event(id, fields...)
	}
}

func (p *process) reportBadObject(object string, err error) {
	p.event(event.BadObject, "object", object, "cause", err.Error())
}

// runSession runs the daemon for one session. It returns true if the session
// ended and no stop signal came meanwhile, so that another one must be started.
func (p *process) runSession() (bool, error) {
	s := p.settings
	registry := metrics.NewRegistry()
	log := eventlog.New(os.Stdout, p.level, s.Daemon.Host, registry)
	defer log.Close()
	p.log.Store(log)
	d := daemon.New(p.daemons, log, registry,
		daemon.WithStore(p.store),
		daemon.WithProtocol(platform.NewCallerProtocol(s)),
		daemon.WithTargetFactory(func(a control.Announcement) daemon.Target {
			return platform.NewTarget(a, s.App.Slices)
		}))
	if err := d.Start(); err != nil {
		return false, err
	}
	server := platform.NewServer(s, d, p.reportBadObject)
	if err := server.Start(); err != nil {
		d.Close()
		return false, err
	}
	restart := d.Run(p.stop)
	if restart {
		server.Stop()
	}
	return restart, nil // Otherwise the server ends with the process, which has no time to wait for it.
}

// watchSettings applies changed settings until done is closed. Only the store
// client uses them without a restart.
func (p *process) watchSettings(done <-chan struct{}) {
	changed := func(next *platform.Settings) {
		restart := strings.Join(p.settings.NeedsRestart(next), " ")
		p.event(event.SettingsReloaded, "store", next.Daemon.StoreAddress, "needs_restart", restart)
		p.store.Reload(next)
	}
	platform.WatchSettings(p.settingsPath, p.settings, p.reload, done, changed, func(err error) {
		p.event(event.SettingsRefused, "cause", err.Error())
	})
}
