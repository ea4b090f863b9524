package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/operator"
	"github.com/rhubarbring/rhubarbring/result"
)

// source is a document with the bytes that it was parsed from.
type source struct {
	raw []byte
	doc *document.Document
}

// parseSource parses and checks a document. The error holds all its problems.
func parseSource(raw []byte) (source, error) {
	doc, problems := document.Parse(raw)
	return source{raw: raw, doc: doc}, problems.Err()
}

// readDocument reads and checks a file. The error holds all its problems.
func readDocument(file string) (source, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return source{}, &result.Error{Code: result.BadSettings, Field: "FILE", Cause: err, Remedy: "name a readable file"}
	}
	return parseSource(raw)
}

// readDocumentForStore reads and checks a file for commands that compare it
// with what the store holds. It also returns a client of the store.
func (t *tool) readDocumentForStore(file string) (source, *operator.Client, error) {
	s, err := readDocument(file)
	if err != nil {
		return source{}, nil, err
	}
	o, err := t.newClient()
	return s, o, err
}

type validation struct {
	Hash     document.Hash     `json:"hash"`
	Valid    bool              `json:"valid"`
	Problems document.Problems `json:"problems"`
}

func (t *tool) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a document and name everything that is wrong with it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return &result.Error{Code: result.BadSettings, Field: "FILE", Cause: err, Remedy: "name a readable file"}
			}
			_, problems := document.Parse(raw)
			v := validation{Hash: document.HashOf(raw), Valid: len(problems) == 0, Problems: problems}
			if t.output == outputJSON || v.Valid {
				err = t.printResult(cmd, v, func(w io.Writer) { fmt.Fprintf(w, "valid\t%s\n", v.Hash) })
			}
			if err != nil {
				return err
			}
			return problems.Err()
		},
	}
}

func (t *tool) planCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE",
		Short: "Say what putting a document in force would change, and for whom",
		Long: `plan compares a document with the one in force in its trial, or in the
environment that --environment names, and with the fleet that runs there.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, o, err := t.readDocumentForStore(args[0])
			if err != nil {
				return err
			}
			environment := t.environment
			if environment == "" {
				environment = s.doc.Trial
			}
			plan, _, err := makePlan(o, environment, s)
			if err != nil {
				return err
			}
			if err := t.printResult(cmd, plan, func(w io.Writer) { fmt.Fprint(w, plan.Text()) }); err != nil {
				return err
			}
			return plan.Problems.Err()
		},
	}
}

// makePlan compares a document with the one in force in an environment. It also
// returns the version in force, 0 if there is none.
func makePlan(o *operator.Client, environment string, s source) (document.Plan, uint64, error) {
	doc := s.doc
	if !doc.AllowedIn(environment) {
		return document.Plan{}, 0, &result.Error{Code: result.BadDocument, Field: "environment, trial", Detail: "the document names " + doc.Environment + " and " + doc.Trial + ", not " + environment, Remedy: "name one of them, or write a document for " + environment}
	}
	stored, err := o.Document(environment)
	if err != nil {
		return document.Plan{}, 0, err
	}
	var old *document.Document
	var from document.Hash
	var version uint64
	if stored != nil {
		version = stored.Version
		from = stored.Hash
		if old, err = stored.Document(); err != nil {
			return document.Plan{}, 0, err
		}
	}
	hosts, err := o.Hosts(environment)
	if err != nil {
		return document.Plan{}, 0, err
	}
	plan := document.NewPlan(old, doc, operator.Fleet(hosts))
	plan.Environment, plan.From, plan.To = environment, from, document.HashOf(s.raw)
	return plan, version, nil
}

func (t *tool) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the versions of an environment's document, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, versions, err := t.readVersions()
			if err != nil {
				return err
			}
			return t.printResult(cmd, versions, func(w io.Writer) { writeVersions(w, versions) })
		},
	}
}

// readVersions returns the versions of the document of the environment that
// --environment names, newest first, and the client that read them.
func (t *tool) readVersions() (*operator.Client, []document.Stored, error) {
	o, err := t.newEnvironmentClient()
	if err != nil {
		return nil, nil, err
	}
	versions, err := allVersions(o, t.environment)
	return o, versions, err
}

// allVersions returns the document in force and those it replaced, newest
// first.
func allVersions(o *operator.Client, environment string) ([]document.Stored, error) {
	current, err := o.Document(environment)
	if err != nil || current == nil {
		return nil, err
	}
	history, err := o.History(environment)
	if err != nil {
		return nil, err
	}
	versions := []document.Stored{*current}
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].Version < current.Version {
			versions = append(versions, history[i])
		}
	}
	return versions, nil
}

func writeVersions(w io.Writer, versions []document.Stored) {
	fmt.Fprintln(w, "VERSION\tHASH\tWHO\tWHEN\tTRIED")
	for _, v := range versions {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", v.Version, v.Hash.Short(), v.Who, formatTime(v.When), trialText(v.Trial))
	}
}

func trialText(e *document.Evidence) string {
	if e == nil {
		return "-"
	}
	return fmt.Sprintf("%s version %d on %d hosts", e.Environment, e.Version, e.Hosts)
}
