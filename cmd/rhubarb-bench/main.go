// Command rhubarb-bench measures the latency and processor time that daemons
// add to the path of a request.
package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/bench"
	"github.com/rhubarbring/rhubarbring/internal/cli"
)

const (
	defaultBasePort      = 31000
	defaultRoundDuration = 400 * time.Millisecond
	defaultRounds        = 3
)

func main() {
	cfg := bench.Config{}
	plan := false
	command := &cobra.Command{
		Use:   "rhubarb-bench",
		Short: "Measure what daemons add to the path of a request",
		Long:  "Calls a target directly, through the daemon that owns the key and through another daemon, in turn in\none run, and prints a table for each number of connections and each load. scripts/bench-path.sh starts\nthe daemons that --plan lists, then runs this again without --plan and with the same flags.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if plan {
				return bench.Plan(cfg, c.OutOrStdout())
			}
			return bench.Run(cfg, c.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.BoolVar(&plan, "plan", false, "write the daemons' settings to --dir and list the commands that start them")
	flags.StringVar(&cfg.Dir, "dir", ".", "directory of settings, logs and process ids")
	flags.StringSliceVar(&cfg.Daemons, "daemon", []string{"bin/rhubarbd"}, "binaries of the daemon to compare")
	flags.IntVar(&cfg.BasePort, "base-port", defaultBasePort, "first port; ten for each binary and log level are used")
	flags.StringSliceVar(&cfg.Levels, "levels", []string{"info", "warn"}, "log levels to compare")
	flags.IntSliceVar(&cfg.Connections, "connections", []int{1, 10, 130}, "numbers of callers' connections")
	flags.DurationVar(&cfg.RoundDuration, "phase", defaultRoundDuration, "length of one round")
	flags.IntVar(&cfg.Rounds, "rounds", defaultRounds, "rounds of each path and load")
	flags.DurationVar(&cfg.ServiceTime, "service", 0, "time that the target takes for a request")
	flags.IntVar(&cfg.ProfileBasePort, "profiles", 0, "first port of the daemons' profiles, 0 for none; each pair of daemons uses two, ten above those of the pair before")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed")
	os.Exit(cli.Run(command, os.Stderr))
}
