// Command rhubarb-store is an in-memory stand-in for the platform's store, for
// trials and tests.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/internal/fakestore"
	"github.com/rhubarbring/rhubarbring/internal/listen"
)

const defaultHistory = 10000

func main() {
	os.Exit(cli.Run(command(), os.Stderr))
}

func command() *cobra.Command {
	var address string
	var config fakestore.Config
	cmd := &cobra.Command{
		Use:   "rhubarb-store",
		Short: "Stand-in for the platform's store",
		Long: `Serves the object API of docs/PROTOCOLS.md from memory.

  POST /stand/fault   a fault as JSON: outage, slow_ms, lose_answers,
                      late_writes_ms, late_fraction, only_kinds, for_ms
  GET  /stand/calls   calls counted by kind and method, and rates`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run(address, config) },
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:20000", "IP:port to serve")
	cmd.Flags().Uint64Var(&config.Seed, "seed", 1, "seed of the faults")
	cmd.Flags().IntVar(&config.History, "history", defaultHistory, "events kept for watches, for each kind")
	return cmd
}

func run(address string, config fakestore.Config) error {
	ln, err := listen.TCP("address", address)
	if err != nil {
		return err
	}
	server := fakestore.New(config)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		_ = server.Close()
	}()
	return server.Serve(ln)
}
