package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/explain"
	"github.com/rhubarbring/rhubarbring/internal/operator"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/status"
)

func (t *tool) explainCommand() *cobra.Command {
	var q explain.Query
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain [KEY]",
		Short: "Say where a request would go now and why, and who owns its key",
		Long: `explain asks one daemon where a request would go now and why. Nothing is sent.
Name the request by host name and path, as callers address it, with its key if
it has one:

  rhubarb explain --host shop.example --path /book/7 --daemon 10.0.0.7:7001
  rhubarb explain 4711 --host shop.example --path /book/7 --daemon 10.0.0.7:7001

or by app and key, which also shows since when the key has its owner:

  rhubarb explain 4711 --app booking --daemon 10.0.0.7:7001`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				q.Key = args[0]
			}
			if asJSON {
				t.output = outputJSON
			}
			e, err := t.explain(q)
			if err != nil {
				return err
			}
			return t.printResult(cmd, e, func(w io.Writer) { e.write(w) })
		},
	}
	flags := cmd.Flags()
	flags.StringVar((*string)(&q.App), "app", "", "the app that the request is for")
	flags.StringVar(&q.Host, "host", "", "the host name that the request is addressed to")
	flags.StringVar(&q.Path, "path", "/", "the path of the request")
	flags.StringVar(&q.Method, "method", "GET", "the method of the request")
	flags.IntVar(&q.Bytes, "bytes", 0, "the size of the request's body")
	flags.BoolVar(&asJSON, "json", false, "print JSON, as --output json does")
	return cmd
}

// explain returns what the daemon says of the request and, if it is named by app
// and key, of the key. A daemon of an older build says only that.
func (t *tool) explain(q explain.Query) (explanation, error) {
	if err := q.Check(); err != nil {
		return explanation{}, err
	}
	if t.daemon == "" {
		return explanation{}, settingsError("--daemon", "the address of a daemon is missing", "add --daemon IP:port, the control address of any daemon")
	}
	o := operator.New(t.store, t.timeout)
	answer, err := o.ExplainRequest(t.daemon, q)
	if q.App == "" || q.Key == "" {
		return explanation{Request: answer}, err
	}
	k, keyErr := explainKey(o, t.daemon, q.App, q.Key)
	if keyErr != nil && err == nil {
		return explanation{Request: answer}, nil // An app without slices has no owners to show.
	}
	return explanation{Key: k, Request: answer}, keyErr
}

// explainKey asks a daemon, and then the owner that it names, as only the owner
// knows whether it serves the key. If the owner doesn't answer, it returns the
// first answer.
func explainKey(o *operator.Client, daemon string, app key.App, k string) (*status.Key, error) {
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
