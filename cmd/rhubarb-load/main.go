// Command rhubarb-load sends callers' requests to daemons at a configured rate
// and records what each caller saw.
package main

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/result"
)

func main() {
	os.Exit(cli.Run(command(), os.Stderr))
}

func command() *cobra.Command {
	var settings, records string
	cmd := &cobra.Command{
		Use:   "rhubarb-load",
		Short: "Send requests to daemons as callers do",
		Long: `Sends requests at the rate and mix of the settings file, for a bounded time,
and writes a line of JSON for each to the records file, which is overwritten.
The summary is written to standard output as JSON.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := load.ReadConfig(settings)
			if err != nil {
				return err
			}
			return run(cmd, c, records)
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "load.json", "settings file")
	cmd.Flags().StringVar(&records, "records", "load.jsonl", "file that the records are written to")
	return cmd
}

func run(cmd *cobra.Command, c load.Config, records string) error {
	file, err := os.Create(records)
	if err != nil {
		return &result.Error{Code: result.BadSettings, Field: "records", Cause: err}
	}
	defer func() { _ = file.Close() }()
	out := bufio.NewWriter(file)
	summary, err := load.Run(c, out)
	if err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return json.NewEncoder(cmd.OutOrStdout()).Encode(summary)
}
