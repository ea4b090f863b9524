package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/outcome"
)

func (t *tool) outcomesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "outcomes",
		Short: "List, show and settle outcomes at risk",
		Long: `An outcome at risk is that of a request that must not be repeated and whose
result is unknown or arrived too late. It stays listed until a person finds out
what happened and settles it.`,
	}
	cmd.AddCommand(t.outcomesListCommand(), t.outcomesShowCommand(), t.outcomesSettleCommand())
	return cmd
}

func (t *tool) outcomesListCommand() *cobra.Command {
	var all bool
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the outcomes at risk that nobody has settled, by batch name",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := t.newEnvironmentClient()
			if err != nil {
				return err
			}
			batches, err := o.OutcomeBatches(t.environment)
			if err != nil {
				return err
			}
			list := filterOutcomes(batches, func(one outcome.Outcome) bool { return all || one.Settled == nil })
			return t.printResult(cmd, list, func(w io.Writer) { writeOutcomes(w, list) })
		},
	}
	cmd.Flags().BoolVar(&all, "all", false, "list settled ones too")
	return cmd
}

func filterOutcomes(batches []outcome.Batch, want func(outcome.Outcome) bool) []outcome.Outcome {
	list := []outcome.Outcome{}
	for _, b := range batches {
		for _, one := range b.Outcomes {
			if want(one) {
				list = append(list, one)
			}
		}
	}
	return list
}

func writeOutcomes(w io.Writer, list []outcome.Outcome) {
	if len(list) == 0 {
		fmt.Fprintln(w, "none in the store; those not yet saved are counted by rhubarb status")
		return
	}
	fmt.Fprintln(w, "WHEN\tID\tAPP\tKEY\tCODE\tOWNER\tCAUSE\tSETTLED")
	for _, o := range list {
		settled := "-"
		if o.Settled != nil {
			settled = string(o.Settled.Verdict) + " by " + o.Settled.Who
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", formatTime(time.UnixMilli(o.UnixMs)), o.ID, o.App, orDefault(o.Key, "-"), o.Code, o.Owner, o.Cause, settled)
	}
}

func (t *tool) outcomesShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Show all that is known of one outcome at risk",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := t.newEnvironmentClient()
			if err != nil {
				return err
			}
			batches, err := o.FindOutcome(t.environment, args[0])
			if err != nil {
				return err
			}
			list := filterOutcomes(batches, func(one outcome.Outcome) bool { return one.ID == args[0] })
			return t.printResult(cmd, list, func(w io.Writer) {
				for _, one := range list {
					writeOutcome(w, one)
				}
			})
		},
	}
}

func writeOutcome(w io.Writer, o outcome.Outcome) {
	fmt.Fprintf(w, "id\t%s\nwhen\t%s\n", o.ID, formatTime(time.UnixMilli(o.UnixMs)))
	fmt.Fprintf(w, "app\t%s\nkey\t%s\nslice\t%s/%d\n", o.App, orDefault(o.Key, "-"), o.App, o.Slice)
	fmt.Fprintf(w, "entry\t%s\nowner\t%s, epoch %d\n", o.Entry, o.Owner, o.Epoch)
	fmt.Fprintf(w, "result\t%s (%d): %s\n", o.Code, o.Code, o.Code.Outcome())
	fmt.Fprintf(w, "why\t%s\ncause\t%s\n", o.Why, o.Cause)
	if s := o.Settled; s != nil {
		fmt.Fprintf(w, "settled\t%s by %s at %s: %s\n", s.Verdict, s.Who, formatTime(time.UnixMilli(s.UnixMs)), s.Why)
		return
	}
	fmt.Fprintln(w, "settled\tno: look the request up in the app's own records, then rhubarb outcomes settle")
}

func (t *tool) outcomesSettleCommand() *cobra.Command {
	var verdict, why string
	cmd := &cobra.Command{
		Use:   "settle ID --verdict ran|did_not_run|compensated --why TEXT",
		Short: "Record what was found out about an outcome at risk",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := t.newChangeClient()
			if err != nil {
				return err
			}
			s := outcome.Settlement{Verdict: outcome.Verdict(verdict), Who: t.who, Why: why, UnixMs: time.Now().UnixMilli()}
			if err := o.SettleOutcome(t.environment, args[0], s); err != nil {
				return err
			}
			return t.printResult(cmd, s, func(w io.Writer) { fmt.Fprintf(w, "settled %s: %s\n", args[0], s.Verdict) })
		},
	}
	cmd.Flags().StringVar(&verdict, "verdict", "", "ran, did_not_run or compensated")
	cmd.Flags().StringVar(&why, "why", "", "how that is known")
	return cmd
}
