// Command rhubarb-target is a stand-in for a target, for trials and tests.
package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/internal/faketarget"
	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	journalMode  = 0o644
	drainPoll    = 10 * time.Millisecond
	drainTimeout = 10 * time.Second
)

func main() {
	os.Exit(cli.Run(command(), os.Stderr))
}

func command() *cobra.Command {
	config := faketarget.Config{Behaviour: faketarget.DefaultBehaviour()}
	var journal string
	cmd := &cobra.Command{
		Use:   "rhubarb-target",
		Short: "Stand-in for a target",
		Long: `Runs requests in slots as docs/PROTOCOLS.md says, and keeps a journal.

  POST /stand/set     changes the behaviour: mean_service_ms, cold_for_ms,
                      cold_factor, shed, lag_ms, false_load, false_state,
                      answer_bytes, silent
  GET  /stand/ran     the journal, in pages: ?after=N

SIGTERM drains: requests that wait or run are finished first, for at most 10 s.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run(config, journal) },
	}
	f := cmd.Flags()
	f.StringVar(&config.Name, "name", "target", "name in the journal")
	f.StringVar(&config.App, "app", "catalogue", "app that the target serves")
	f.StringVar(&config.Address, "address", "127.0.0.1:9000", "IP:port to serve and to announce")
	f.StringVar(&config.Daemon, "daemon", "", "control address of the daemon, IP:port; empty announces nothing")
	f.IntVar(&config.Slots, "slots", 12, "requests that run at once")
	f.IntVar(&config.Queue, "queue", 0, "requests that wait for a slot; more are shed")
	f.IntVar(&config.Connections, "connections", 130, "connections open at once; more are closed")
	f.DurationVar(&config.ConnectCost, "connect-cost", time.Millisecond, "time that opening a connection takes")
	f.BoolVar(&config.ChecksGrants, "checks-grants", true, "refuse grants that have expired or been superseded")
	f.Uint64Var(&config.Seed, "seed", 1, "seed of service times and shedding")
	f.StringVar(&journal, "journal", "", "file to append the journal to, a line of JSON for each record")
	b := &config.Behaviour
	f.Float64Var(&b.MeanServiceMs, "mean-service-ms", b.MeanServiceMs, "mean of the service time")
	f.IntVar(&b.ColdForMs, "cold-for-ms", b.ColdForMs, "time after the start for which the target is cold")
	f.Float64Var(&b.ColdFactor, "cold-factor", b.ColdFactor, "how many times longer a cold target takes")
	f.Float64Var(&b.Shed, "shed", b.Shed, "fraction of requests that are shed")
	f.IntVar(&b.LagMs, "lag-ms", b.LagMs, "age of the reported load, in milliseconds")
	f.Float64Var(&b.FalseLoad, "false-load", b.FalseLoad, "load reported in place of the true one, unless negative")
	f.StringVar(&b.FalseState, "false-state", b.FalseState, "state reported in place of the true one, unless empty")
	f.IntVar(&b.AnswerBytes, "answer-bytes", b.AnswerBytes, "padding of each answer")
	return cmd
}

func run(config faketarget.Config, journal string) error {
	if config.Slots < 1 || config.Connections < 1 || config.Queue < 0 {
		return &result.Error{
			Code:   result.BadSettings,
			Field:  "slots, connections, queue",
			Detail: "slots and connections must be at least 1, queue at least 0",
			Remedy: "correct the flags",
		}
	}
	if journal != "" {
		file, err := os.OpenFile(journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, journalMode)
		if err != nil {
			return &result.Error{Code: result.BadSettings, Field: "journal", Cause: err}
		}
		defer func() { _ = file.Close() }()
		config.Journal = file
	}
	return serve(config)
}

func serve(config faketarget.Config) error {
	ln, err := listen.TCP("address", config.Address)
	if err != nil {
		return err
	}
	config.Address = ln.Addr().String()
	target := faketarget.New(config)
	server := faketarget.NewServer(target)
	stopped := make(chan struct{})
	go target.Announce(stopped)
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
		<-signals
		drain(target)
		close(stopped)
		_ = server.Shutdown()
	}()
	return target.Serve(server, ln)
}

// drain refuses new requests and waits until those that wait or run have ended,
// but at most drainTimeout.
func drain(target *faketarget.Target) {
	target.Drain()
	for end := time.Now().Add(drainTimeout); target.Busy() > 0 && time.Now().Before(end); {
		time.Sleep(drainPoll)
	}
}
