package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/operator"
	"github.com/rhubarbring/rhubarbring/session"
)

// sessionLine is a session record of the store, as it is printed.
type sessionLine struct {
	Session host.Session  `json:"session"`
	Place   host.Place    `json:"place"`
	State   session.State `json:"state"`
	// Version is that of the record in the store.
	Version    uint64         `json:"version"`
	Generation uint64         `json:"generation"`
	Witnesses  []host.Session `json:"witnesses"`
	// Target is the target on the host; nil if none has announced itself.
	Target *session.Target `json:"target,omitempty"`
	// Declared says who declared the session lost; nil if nobody did.
	Declared *session.LossDeclaration `json:"declared,omitempty"`
}

func newSessionLine(v session.VersionedRecord) sessionLine {
	r := v.Record
	return sessionLine{
		Session: r.Session, Place: r.Place, State: r.State, Version: v.Version, Generation: r.Generation,
		Witnesses: r.Witnesses, Target: r.Target, Declared: r.Declared,
	}
}

func (t *tool) sessionsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "sessions",
		Short: "List the daemons' sessions, and declare one lost whose host is destroyed",
	}
	cmd.AddCommand(t.sessionsListCommand(), t.declareLostCommand())
	return cmd
}

func (t *tool) sessionsListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the session records of an environment in the store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := t.newEnvironmentClient()
			if err != nil {
				return err
			}
			records, err := o.Sessions(t.environment)
			if err != nil {
				return err
			}
			lines := make([]sessionLine, len(records))
			for i, v := range records {
				lines[i] = newSessionLine(v)
			}
			return t.printResult(cmd, lines, func(w io.Writer) { writeSessions(w, lines) })
		},
	}
}

func writeSessions(w io.Writer, lines []sessionLine) {
	if len(lines) == 0 {
		fmt.Fprintln(w, "none")
		return
	}
	fmt.Fprintln(w, "SESSION\tREGION\tZONE\tSTATE\tWITNESSES\tAPP\tTARGET")
	for _, l := range lines {
		app, address := "-", "-"
		if l.Target != nil {
			app, address = string(l.Target.App), l.Target.Address
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.Session, l.Place.Region, l.Place.Zone, l.State, witnessesText(l.Witnesses), app, address)
	}
}

// witnessesText lists the witnesses. A session without any renews its lease at
// the store.
func witnessesText(witnesses []host.Session) string {
	if len(witnesses) == 0 {
		return "the store"
	}
	names := make([]string, len(witnesses))
	for i, w := range witnesses {
		names[i] = w.String()
	}
	return strings.Join(names, " ")
}

const declareHelp = `declare-lost records a session as lost on your word that its host is destroyed,
powered off for good, or was rebooted since. Its keys are then given to other
hosts at once, and this can't be taken back.

It is the last resort. A lost session is recorded as lost by its witnesses
without help, within seconds. Only if a majority of them was lost with it, as
with a whole region, does it stay "live" here with its keys unserved, and an
alarm says "no majority of the session's witnesses answers".

IF THE HOST STILL RUNS, ITS KEYS THEN HAVE TWO OWNERS: a daemon that is only cut
off from here goes on serving for as long as its witnesses reach it, beside the
new owner. Nobody can tell this from here. If you can't see that the host is
off, wait.

It is refused without --host-is-destroyed; for a session that is not live or
draining in its record; if the session's daemon answers, or one of its
witnesses, or the daemon at --daemon, still receives its lease renewals; and if
its record changes meanwhile. If none of them answers, that proves nothing.`

func (t *tool) declareLostCommand() *cobra.Command {
	var destroyed bool
	var why string
	cmd := &cobra.Command{
		Use:   "declare-lost HOST/INCARNATION --host-is-destroyed --who NAME --why TEXT",
		Short: "Record a session as lost whose host is destroyed together with its witnesses",
		Long:  declareHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, ok := host.ParseSession(args[0])
			if !ok {
				return settingsError("HOST/INCARNATION", "\""+args[0]+"\" is no session", "choose one from rhubarb sessions list")
			}
			if !destroyed {
				return settingsError("--host-is-destroyed", "if the host of "+s.String()+" still runs, its keys get two owners", "make sure that it is destroyed or off for good, then add the flag; else wait")
			}
			if why == "" {
				return settingsError("--why", "a declaration needs a reason", "add --why with how you know that the host is gone")
			}
			o, err := t.newChangeClient()
			if err != nil {
				return err
			}
			v, err := o.DeclareLost(operator.DeclareLostRequest{Environment: t.environment, Session: s, Who: t.who, Why: why, Daemon: t.daemon})
			if err != nil {
				return err
			}
			line := newSessionLine(v)
			return t.printResult(cmd, line, func(w io.Writer) {
				fmt.Fprintf(w, "%s is recorded lost, declared by %s; its keys are given to other hosts. Keep its host off.\n", s, t.who)
			})
		},
	}
	cmd.Flags().BoolVar(&destroyed, "host-is-destroyed", false, "you know that the host is destroyed, off for good, or was rebooted since the session began")
	cmd.Flags().StringVar(&why, "why", "", "how you know it; written to the record")
	return cmd
}
