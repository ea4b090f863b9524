package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/alarm"
)

func (t *tool) alarmsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "alarms",
		Short: "List and acknowledge alarms",
	}
	var all bool
	list := &cobra.Command{
		Use:   "list",
		Short: "List the alarms that nobody has acknowledged",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := t.newEnvironmentClient()
			if err != nil {
				return err
			}
			records, err := o.Alarms(t.environment, all)
			if err != nil {
				return err
			}
			return t.printResult(cmd, records, func(w io.Writer) { writeAlarms(w, records) })
		},
	}
	list.Flags().BoolVar(&all, "all", false, "list acknowledged ones too")
	cmd.AddCommand(list, t.acknowledgeCommand())
	return cmd
}

func (t *tool) acknowledgeCommand() *cobra.Command {
	var why string
	cmd := &cobra.Command{
		Use:   "acknowledge ID --why TEXT",
		Short: "Acknowledge an alarm, so that it is no longer listed as open",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := t.newChangeClient()
			if err != nil {
				return err
			}
			a := alarm.Acknowledgement{Who: t.who, Why: why, UnixMs: time.Now().UnixMilli()}
			if err := o.AcknowledgeAlarm(t.environment, args[0], a); err != nil {
				return err
			}
			return t.printResult(cmd, a, func(w io.Writer) { fmt.Fprintf(w, "acknowledged %s\n", args[0]) })
		},
	}
	cmd.Flags().StringVar(&why, "why", "", "what is done about it")
	return cmd
}

func writeAlarms(w io.Writer, records []alarm.Record) {
	if len(records) == 0 {
		fmt.Fprintln(w, "none")
		return
	}
	fmt.Fprintln(w, "ID\tRAISED\tSEVERITY\tCAUSE\tAT RISK (NOW)\tRECEIVED\tACKNOWLEDGED")
	for _, r := range records {
		a := r.Alarm
		acknowledged := "-"
		if a.Acknowledged != nil {
			acknowledged = a.Acknowledged.Who
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", a.ID, formatTime(time.UnixMilli(a.RaisedMs)), a.Severity, a.Cause, countsText(a.Counts), choose(a.Taken, "yes", "no"), acknowledged)
	}
}

func countsText(list []alarm.Count) string {
	parts := make([]string, len(list))
	for i, c := range list {
		parts[i] = fmt.Sprintf("%s %d (%d)", c.Kind, c.AtRisk, c.Now)
	}
	return strings.Join(parts, ", ")
}
