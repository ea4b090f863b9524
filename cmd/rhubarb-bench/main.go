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
		Short: "Measure what daemons add to the way of a request",
		Long:  "Calls a target directly, by its owner's daemon and by another daemon, in turn in one run, and prints a\ntable for each number of connections and each load. scripts/bench-path.sh starts the daemons that\n--plan lists, then runs this again without --plan and with the same flags.",
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
	flags.DurationVar(&cfg.RoundDuration, "phase", defaultRoundDuration, "length of one measurement")
	flags.IntVar(&cfg.Rounds, "rounds", defaultRounds, "measurements of each way and load")
	flags.DurationVar(&cfg.ServiceTime, "service", 0, "time that the target takes for a request")
	flags.IntVar(&cfg.ProfileBasePort, "profiles", 0, "first port of the daemons' profiles; two for each log level from it in steps of ten, 0 for none")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed")
	os.Exit(cli.Run(command, os.Stderr))
}
