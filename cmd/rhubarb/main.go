// Command rhubarb is the operators' command line: it validates, plans, applies
// and promotes documents, shows the fleet and explains keys, and lists and
// settles outcomes at risk.
package main

import (
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/internal/operator"
	"github.com/rhubarbring/rhubarbring/result"
)

func main() {
	os.Exit(cli.Run(newCommand(), os.Stderr))
}

const rootHelp = `rhubarb validates, plans, applies and promotes the configuration documents of
rhubarbring, shows the fleet, explains keys, and lists and settles outcomes at
risk.

A first document:
  rhubarb validate doc.json
  rhubarb plan     doc.json --store 10.0.0.5:20000
  rhubarb apply    doc.json --store 10.0.0.5:20000    (in the trial it names)
  rhubarb promote  doc.json --store 10.0.0.5:20000    (the same bytes)

Exit codes: 0 done, 1 refused or failed, 2 wrong input or flags.
docs/operators/guide.md describes the steps; docs/DOCUMENT.md lists the fields.`

const (
	outputText = "text"
	outputJSON = "json"
)

// tool holds the flags that all commands share.
type tool struct {
	store       string
	daemon      string
	environment string
	output      string
	who         string
	timeout     time.Duration
}

func newCommand() *cobra.Command {
	t := &tool{}
	cmd := &cobra.Command{
		Use:   "rhubarb",
		Short: "Operate rhubarbring",
		Long:  rootHelp,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return t.checkOutput()
		},
	}
	flags := cmd.PersistentFlags()
	flags.StringVar(&t.store, "store", "", "address of the platform's store, IP:port")
	flags.StringVar(&t.daemon, "daemon", "", "control address of a daemon, IP:port")
	flags.StringVar(&t.environment, "environment", "", "name of the environment")
	flags.StringVar(&t.output, "output", outputText, "text or json")
	flags.StringVar(&t.who, "who", os.Getenv("USER"), "name of the person who makes a change, recorded with it")
	flags.DurationVar(&t.timeout, "timeout", 5*time.Second, "longest time of one call")
	cmd.AddCommand(t.validateCommand(), t.planCommand(), t.applyCommand(), t.promoteCommand(), t.rollbackCommand())
	cmd.AddCommand(t.historyCommand(), t.documentCommand(), t.statusCommand(), t.explainCommand())
	cmd.AddCommand(t.outcomesCommand(), t.alarmsCommand(), t.sessionsCommand(), t.traceCommand(), t.evacuateCommand())
	return cmd
}

func (t *tool) checkOutput() error {
	if t.output != outputText && t.output != outputJSON {
		return settingsError("--output", "\""+t.output+"\" is not an output format", "write text or json")
	}
	return nil
}

// newClient returns a client for commands that need --store.
func (t *tool) newClient() (*operator.Client, error) {
	if t.store == "" {
		return nil, settingsError("--store", "the address of the store is missing", "add --store IP:port")
	}
	return operator.New(t.store, t.timeout), nil
}

// newEnvironmentClient returns a client for commands that need --store and
// --environment.
func (t *tool) newEnvironmentClient() (*operator.Client, error) {
	if err := t.requireEnvironment(); err != nil {
		return nil, err
	}
	return t.newClient()
}

// newChangeClient returns a client for commands that change something and need
// --who, --store and --environment.
func (t *tool) newChangeClient() (*operator.Client, error) {
	if err := t.requireWho(); err != nil {
		return nil, err
	}
	return t.newEnvironmentClient()
}

// requireEnvironment returns an error if --environment is missing.
func (t *tool) requireEnvironment() error {
	if t.environment == "" {
		return settingsError("--environment", "the environment is missing", "add --environment with the name that the daemons have in their settings")
	}
	return nil
}

// requireWho returns an error if --who is empty.
func (t *tool) requireWho() error {
	if t.who == "" {
		return settingsError("--who", "a change needs a name", "add --who NAME")
	}
	return nil
}

func settingsError(field, detail, remedy string) error {
	return &result.Error{Code: result.BadSettings, Field: field, Detail: detail, Remedy: remedy}
}

// printResult writes the result in the format of --output: the value as JSON, or
// the text that the function writes, aligned in columns.
func (t *tool) printResult(cmd *cobra.Command, value any, text func(io.Writer)) error {
	out := cmd.OutOrStdout()
	if t.output == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}
