// Command rhubarb-sidecar is the daemon on its users' platform. It runs beside
// each application server.
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
	p := &process{path: path, settings: s, level: level, asked: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(p.asked, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(p.reload, syscall.SIGHUP)
	for {
		again, err := p.live()
		if err != nil || !again {
			return err
		}
	}
}

// process is what outlives a session.
type process struct {
	path     string
	settings *platform.Settings
	level    event.Level
	asked    chan os.Signal // to stop
	reload   chan os.Signal // to read the settings again
}

// live runs the daemon for the time of one session. It returns true if the
// session ended without being asked to, so that another is due.
func (p *process) live() (bool, error) {
	s := p.settings
	registry := metrics.NewRegistry()
	log := eventlog.New(os.Stdout, p.level, s.Daemon.Host, registry)
	defer log.Close()
	bad := func(object string, err error) {
		log.Event(event.BadObject, "object", object, "cause", err.Error())
	}
	store := platform.NewStore(s, bad)
	d := daemon.New(s.Daemon, log, registry,
		daemon.WithStore(store),
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
	done := make(chan struct{})
	defer close(done)
	go p.watch(log, store, done)
	select {
	case <-p.asked:
		d.Stop()
		return false, nil
	case <-d.Ended():
		d.Abandon()
		return true, nil
	}
}

// watch takes changed settings over until done is closed.
func (p *process) watch(log *eventlog.Log, store *platform.Store, done <-chan struct{}) {
	changed := func(next *platform.Settings) {
		restart := strings.Join(p.settings.NeedsRestart(next), " ")
		log.Event(event.SettingsReloaded, "store", next.Daemon.Store, "needs_restart", restart)
		store.Reload(next)
	}
	platform.Watch(p.path, p.reload, done, changed, func(err error) {
		log.Event(event.SettingsRefused, "cause", err.Error())
	})
}
