package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/operator"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/status"
)

func (t *tool) explainCommand() *cobra.Command {
	var app string
	cmd := &cobra.Command{
		Use:   "explain KEY",
		Short: "Say who owns a key, since when, and whether it is served",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if app == "" {
				return settingsError("--app", "the app is missing", "add --app with a name of the document")
			}
			if t.daemon == "" {
				return settingsError("--daemon", "the address of a daemon is missing", "add --daemon IP:port, the control address of any daemon")
			}
			k, err := explain(operator.New(t.store, t.timeout), t.daemon, key.App(app), args[0])
			if err != nil {
				return err
			}
			return t.printResult(cmd, k, func(w io.Writer) { writeKey(w, k) })
		},
	}
	cmd.Flags().StringVar(&app, "app", "", "the app that the key belongs to")
	return cmd
}

// explain asks a daemon, and then the owner that it names, as only the owner
// knows whether it serves the key. If the owner doesn't answer, it returns the
// first answer.
func explain(o *operator.Client, daemon string, app key.App, k string) (*status.Key, error) {
	answer, err := o.Explain(daemon, app, k)
	if err != nil || answer.IsOwner || answer.Owner.IsZero() {
		return answer, err
	}
	known, err := o.Status(daemon)
	if err != nil {
		return answer, nil
	}
	for _, s := range known.Fleet {
		if s.Session != answer.Owner {
			continue
		}
		if owners, err := o.Explain(s.Control, app, k); err == nil {
			return owners, nil
		}
	}
	return answer, nil
}

func writeKey(w io.Writer, k *status.Key) {
	fmt.Fprintf(w, "key\t%s\n", k.Key)
	fmt.Fprintf(w, "slice\t%s/%d%s\n", k.App, k.Slice, choose(k.CarvedOut, ", the hot key's own", ""))
	if k.Owner.IsZero() {
		fmt.Fprintln(w, "owner\tnone: requests are refused and do not run")
	} else {
		fmt.Fprintf(w, "owner\t%s in %s, %s, epoch %d\n", k.Owner, k.OwnerPlace.Zone, k.OwnerState, k.Epoch)
	}
	if !k.Next.IsZero() {
		fmt.Fprintf(w, "next\t%s, by a handover under way\n", k.Next)
	}
	if k.IsOwner {
		fmt.Fprintf(w, "served\t%s, lease runs for %d ms more\n", k.Admits, k.LeaseLeftMs)
	} else {
		fmt.Fprintln(w, "served\tunknown: no answer from an owner")
	}
	for i := len(k.Moves) - 1; i >= 0; i-- {
		m := k.Moves[i]
		fmt.Fprintf(w, "move\t%s to %s, epoch %d%s\n", formatTime(time.UnixMilli(m.AtMs)), m.Owner, m.Epoch, choose(m.Next.IsZero(), "", ", handover to "+m.Next.String()))
	}
}
