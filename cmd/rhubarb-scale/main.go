// Command rhubarb-scale measures what the control plane costs each daemon as
// the fleet grows, by running fleets of daemons in one process.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/internal/scale"
)

const (
	defaultBasePort     = 24000
	defaultSettleTime   = 5 * time.Second
	defaultDuration     = 10 * time.Second
	defaultReadyTimeout = time.Minute
)

func main() {
	var sizes []int
	var path string
	cfg := scale.Config{}
	command := &cobra.Command{
		Use:   "rhubarb-scale",
		Short: "Measure what the control plane costs a daemon as the fleet grows",
		Long:  "Runs fleets of daemons in this process on loopback addresses, without requests, and prints a\ntable: processor time, memory, bytes to peers and calls to the store.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			cfg.Document = raw
			return measure(c, cfg, sizes)
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&sizes, "daemons", []int{5, 50, 150}, "sizes of the fleets")
	flags.IntVar(&cfg.AbsentSessions, "absent", 0, "further sessions in the store whose daemons do not run")
	flags.IntVar(&cfg.BasePort, "base-port", defaultBasePort, "first port: one for the store and three for each daemon are used")
	flags.DurationVar(&cfg.SettleTime, "settle", defaultSettleTime, "time between readiness and the measurement")
	flags.DurationVar(&cfg.Duration, "for", defaultDuration, "length of the measurement")
	flags.DurationVar(&cfg.ReadyTimeout, "patience", defaultReadyTimeout, "bound on the wait for readiness")
	flags.StringVar(&path, "document", "examples/rayuela.json", "document in force")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed")
	os.Exit(cli.Run(command, os.Stderr))
}

func measure(c *cobra.Command, cfg scale.Config, sizes []int) error {
	out := c.OutOrStdout()
	fmt.Fprintln(out, "| daemons | ready s | CPU % of a core | memory MiB | bytes/s out | store reads/s | store writes/s | reads at start | writes at start |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	for _, n := range sizes {
		cfg.Daemons = n
		r, err := scale.Run(cfg)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %d | %.1f | %.2f | %.2f | %.0f | %.1f | %.1f | %d | %d |\n",
			r.Daemons, r.ReadySeconds, r.CPUPercent, r.MemoryMiB, r.BytesOut, r.StoreReads, r.StoreWrites, r.StartReads, r.StartWrites)
	}
	return nil
}
