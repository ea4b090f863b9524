package main

import (
	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/trial"
)

func settingsCommand() *cobra.Command {
	var o trial.Options
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Write the settings of every process and the commands that start them",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return trial.WriteFiles(o) },
	}
	f := cmd.Flags()
	f.StringVar(&o.Layout, "layout", "rayuela", "rayuela or kalderimi")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the store, the daemons and the load; target i, counted from 0, gets the seed plus i")
	f.IntVar(&o.BasePort, "base-port", 20000, "first port on 127.0.0.1; the next 5000 are used too")
	f.StringVar(&o.Dir, "dir", "trial", "directory for the files")
	f.StringVar(&o.BinDir, "bin", "bin", "directory of the binaries")
	f.Float64Var(&o.RatePerSecond, "rate", 300, "requests a second")
	f.Int64Var(&o.LoadMs, "for-ms", 20000, "milliseconds of load")
	return cmd
}
