package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/trial"
)

func judgeCommand() *cobra.Command {
	var dir string
	var problems []string
	cmd := &cobra.Command{
		Use:   "judge",
		Short: "Evaluate a trial from the records of callers and targets and the outcomes kept in the store",
		Long: `Reads the hosts, the load tool's records, the targets' journals, the fault
timeline and the outcomes kept in the store, and writes the details and, as
the last line, the verdict. docs/TRIAL.md defines the figures.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			in, err := readInput(dir)
			if err != nil {
				return err
			}
			v := judge.Judge(in)
			v.Problems = append(v.Problems, problems...)
			printDetails(cmd.OutOrStdout(), v)
			fmt.Fprintln(cmd.OutOrStdout(), v)
			if !v.OK() {
				return cli.ErrReported
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "trial", "directory of the trial")
	cmd.Flags().StringArrayVar(&problems, "problem", nil, "another problem, which fails the trial; may be repeated")
	return cmd
}

// readInput reads what judge.Judge needs from the directory of a trial.
func readInput(dir string) (judge.Input, error) {
	var in judge.Input
	if err := readJSON(filepath.Join(dir, trial.HostsFile), &in.Hosts); err != nil {
		return in, err
	}
	if err := readJSON(filepath.Join(dir, trial.OutcomesFile), &in.KeptOutcomes); err != nil {
		return in, err
	}
	var err error
	if in.Records, err = readFile(filepath.Join(dir, trial.RecordsFile), judge.ReadRecords); err != nil {
		return in, err
	}
	if in.Faults, err = readFile(filepath.Join(dir, trial.FaultsFile), judge.ReadFaults); err != nil {
		return in, err
	}
	for _, h := range in.Hosts {
		journal, err := readFile(filepath.Join(dir, trial.JournalName(h.Name)), judge.ReadJournal)
		if err != nil {
			return in, err
		}
		in.Journal = append(in.Journal, journal...)
	}
	return in, nil
}

func readJSON(name string, v any) error {
	raw, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func readFile[T any](name string, read func(io.Reader) ([]T, error)) ([]T, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	out, err := read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return out, nil
}

func printDetails(out io.Writer, v judge.Verdict) {
	fmt.Fprintf(out, "done: %d of %d\n", v.Done, v.Requests)
	fmt.Fprintf(out, "outcomes at risk reported to callers: %d (%d kept in the store)\n", v.AtRisk.Reported, v.AtRisk.Kept)
	for _, b := range v.Balances {
		fmt.Fprintf(out, "imbalance of %s: %.2f\n", b.App, b.Imbalance)
	}
	fmt.Fprintf(out, "owner changes: %d (%d forced by faults)\n", v.OwnerChanges.Total, v.OwnerChanges.Forced)
	for _, g := range v.Gaps {
		fmt.Fprintf(out, "longest gap after %s: %s, slice %s\n", g.Fault.Kind, g.Gap.Length(), g.Gap.Slice)
	}
	for _, p := range v.Problems {
		fmt.Fprintf(out, "problem: %s\n", p)
	}
}
