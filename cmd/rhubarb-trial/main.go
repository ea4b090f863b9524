// Command rhubarb-trial prepares a trial on loopback addresses and evaluates
// it. scripts/trial.sh starts and stops the processes.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/cli"
)

func main() {
	os.Exit(cli.Run(command(), os.Stderr))
}

func command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "rhubarb-trial",
		Short: "Prepare and evaluate a trial",
	}
	cmd.AddCommand(settingsCommand(), waitCommand(), getCommand(), postCommand(), uploadCommand(), markCommand(), keptCommand(), judgeCommand(), reportCommand())
	return cmd
}
