package main

import (
	"crypto/rand"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/operator"
	"github.com/rhubarbring/rhubarbring/result"
)

// Limits of a change's calls to the store, and the interval at which the
// daemons are polled.
const (
	maxStoreFailures = 12
	initialBackoff   = 100 * time.Millisecond
	maxBackoff       = 2 * time.Second
	pollInterval     = 200 * time.Millisecond
)

// changeFlags are the flags of the commands that change a document.
type changeFlags struct {
	base  int64
	token string
	wait  time.Duration
}

func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().Int64Var(&f.base, "base", -1, "version that the change was planned against; a change of another version is refused")
	cmd.Flags().StringVar(&f.token, "token", "", "token of a change that ended as unknown, to run it again (with its --base)")
	cmd.Flags().DurationVar(&f.wait, "wait", 10*time.Second, "wait so long until every daemon has it in force; 0 does not wait")
}

// changeReport is the result of a change.
type changeReport struct {
	Environment string `json:"environment"`
	document.UpdateResult
	Plan document.Plan `json:"plan"`
	// Hosts is the number of daemons, out of Of, that have the version in
	// force after AfterMs milliseconds.
	Hosts   int   `json:"hosts"`
	Of      int   `json:"of"`
	AfterMs int64 `json:"after_ms"`
}

// change is a document to be put in force in an environment.
type change struct {
	environment string
	source      source
	evidence    *document.Evidence // Of the trial; nil if there was none.
}

// changeCommand completes a command that changes a document. prepare returns
// the change that the command's only argument asks for.
func (t *tool) changeCommand(cmd *cobra.Command, prepare func(arg string) (change, error)) *cobra.Command {
	var flags changeFlags
	flags.add(cmd)
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c, err := prepare(args[0])
		if err != nil {
			return err
		}
		return t.applyChange(cmd, flags, c)
	}
	return cmd
}

func (t *tool) applyCommand() *cobra.Command {
	return t.changeCommand(&cobra.Command{
		Use:   "apply FILE",
		Short: "Put a document in force in the trial that it names",
		Long: `apply puts a document in force in the trial environment that it names, and
waits until every daemon there has it in force.

If another operator's change came first, it is refused and both versions are
shown. If the store's answer is lost and the outcome can't be determined, it
reports unknown and gives the flags with which the same change is run again
until the outcome is known.`,
	}, prepareApply)
}

// prepareApply returns the change that puts a file's document in force in its
// trial.
func prepareApply(file string) (change, error) {
	s, err := readDocument(file)
	if err != nil {
		return change{}, err
	}
	return change{environment: s.doc.Trial, source: s}, nil
}

func (t *tool) promoteCommand() *cobra.Command {
	return t.changeCommand(&cobra.Command{
		Use:   "promote FILE",
		Short: "Put a document that was tried in force in its own environment",
		Long: `promote puts the same bytes in force that the trial has in force. It is
refused if the trial holds other bytes, or if a live daemon of the trial
doesn't have them in force or doesn't answer.`,
	}, t.preparePromotion)
}

// preparePromotion returns the change that puts a file's document in force in
// its own environment. It fails if the trial does not have it in force.
func (t *tool) preparePromotion(file string) (change, error) {
	s, o, err := t.readDocumentForStore(file)
	if err != nil {
		return change{}, err
	}
	trial, err := o.TrialState(s.doc.Trial)
	if err != nil {
		return change{}, err
	}
	evidence, err := document.Promote(document.HashOf(s.raw), s.doc, trial)
	if err != nil {
		return change{}, err
	}
	return change{environment: s.doc.Environment, source: s, evidence: evidence}, nil
}

func (t *tool) rollbackCommand() *cobra.Command {
	return t.changeCommand(&cobra.Command{
		Use:   "rollback VERSION",
		Short: "Put an earlier version's content in force again, as a new version",
		Long: `rollback takes the content of an earlier version of the environment from its
history and puts it in force as a new version. It needs no new trial: the
content was in force here before.`,
	}, t.prepareRollback)
}

// prepareRollback returns the change that puts an earlier version's content in
// force again. The argument is the number of the version.
func (t *tool) prepareRollback(arg string) (change, error) {
	version, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		return change{}, settingsError("VERSION", "\""+arg+"\" is no version", "choose one from rhubarb history")
	}
	_, versions, err := t.readVersions()
	if err != nil {
		return change{}, err
	}
	earlier, err := findVersion(versions, t.environment, version)
	if err != nil {
		return change{}, err
	}
	s, err := parseSource([]byte(earlier.Content))
	if err != nil {
		return change{}, err
	}
	return change{environment: t.environment, source: s, evidence: earlier.Trial}, nil
}

// findVersion returns the given version out of those of an environment.
func findVersion(versions []document.Stored, environment string, version uint64) (*document.Stored, error) {
	for _, v := range versions {
		if v.Version == version {
			return &v, nil
		}
	}
	return nil, &result.Error{Code: result.StoreNotFound, Field: "VERSION", Detail: fmt.Sprintf("%s has no version %d", environment, version), Remedy: "choose one from rhubarb history"}
}

// applyChange plans a change, makes it and waits until it is in force.
func (t *tool) applyChange(cmd *cobra.Command, flags changeFlags, c change) error {
	if err := t.requireWho(); err != nil {
		return err
	}
	if flags.token != "" && flags.base < 0 {
		return settingsError("--base", "a change that is run again needs the base it had", "add the --base that was shown with the token")
	}
	o, err := t.newClient()
	if err != nil {
		return err
	}
	plan, version, err := makePlan(o, c.environment, c.source)
	if err != nil {
		return err
	}
	if err := plan.Problems.Err(); err != nil {
		return err
	}
	started := time.Now()
	done := changeReport{Environment: c.environment, Plan: plan}
	done.UpdateResult = o.Update(flags.config(t.who, c, version))
	if done.Err() == nil && done.Verdict != document.Replaced {
		t.awaitInForce(o, flags.wait, started, &done)
	}
	if err := t.printResult(cmd, done, func(w io.Writer) { writeChangeReport(w, done) }); err != nil {
		return err
	}
	if err := done.Err(); err != nil {
		return err
	}
	return done.lagError(flags.wait)
}

func (f changeFlags) config(who string, c change, version uint64) document.UpdateConfig {
	if f.base >= 0 {
		version = uint64(f.base)
	}
	token := f.token
	if token == "" {
		token = rand.Text()
	}
	return document.UpdateConfig{
		Environment: c.environment, Content: c.source.raw, Deadlines: c.source.doc.MaxDeadlines(), Token: token, Who: who, When: time.Now().UTC().Truncate(time.Second),
		Trial: c.evidence, Base: &version, MaxFailures: maxStoreFailures, InitialBackoff: initialBackoff, MaxBackoff: maxBackoff,
	}
}

// awaitInForce polls until every daemon has the version in force or the wait
// has passed.
func (t *tool) awaitInForce(o *operator.Client, wait time.Duration, started time.Time, done *changeReport) {
	for {
		done.Hosts, done.Of = 0, 0
		hosts, err := o.Hosts(done.Environment)
		for _, h := range hosts {
			done.Of++
			if h.Status != nil && h.Status.Document.Version >= done.version() {
				done.Hosts++
			}
		}
		done.AfterMs = time.Since(started).Milliseconds()
		if err == nil && done.Hosts == done.Of || time.Since(started) >= wait {
			return
		}
		time.Sleep(pollInterval)
	}
}

// version returns the version that the daemons are to have in force.
func (a changeReport) version() uint64 {
	if a.Other != nil {
		return a.Other.Version
	}
	return a.Mine.Version
}

// lagError returns an error if some daemons did not have the version in force
// when the wait ended; nil if there was no wait.
func (a changeReport) lagError(wait time.Duration) error {
	if wait == 0 || a.Hosts == a.Of {
		return nil
	}
	return &result.Error{
		Code: result.PeerUnreachable, Field: "--wait",
		Detail: fmt.Sprintf("accepted as version %d, but in force on %d of %d daemons after %s", a.version(), a.Hosts, a.Of, wait),
		Remedy: "rhubarb status names those that lag; the change stays accepted",
	}
}

func writeChangeReport(w io.Writer, a changeReport) {
	fmt.Fprint(w, a.Plan.Text())
	switch a.Verdict {
	case document.AcceptedNow:
		fmt.Fprintf(w, "in force: %s version %d, hash %s\n", a.Environment, a.Mine.Version, a.Mine.Hash)
	case document.AlreadyInForce:
		fmt.Fprintf(w, "in force already: %s version %d by %s\n", a.Environment, a.Other.Version, a.Other.Who)
	case document.Replaced:
		fmt.Fprintf(w, "was in force as version %d, and has been replaced since\n", a.Mine.Version)
	}
	if a.Of == 0 {
		fmt.Fprintf(w, "no daemon of %s has a session in the store yet\n", a.Environment)
		return
	}
	fmt.Fprintf(w, "on %d of %d daemons after %d ms\n", a.Hosts, a.Of, a.AfterMs)
}
