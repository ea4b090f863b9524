package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
)

func (t *tool) documentCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "document",
		Short: "Ask about an environment's document",
	}
	var token string
	statusCommand := &cobra.Command{
		Use:   "status",
		Short: "Show which version is in force, and what became of a change",
		Long: `status shows the version that the store holds for an environment. With
--token it also says what became of the change of that token.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, versions, err := t.readVersions()
			if err != nil {
				return err
			}
			s := newDocumentStatus(t.environment, token, versions)
			if s.Zones, err = o.InForce(t.environment); err != nil {
				return err
			}
			return t.printResult(cmd, s, func(w io.Writer) { s.write(w) })
		},
	}
	statusCommand.Flags().StringVar(&token, "token", "", "token of a change")
	cmd.AddCommand(statusCommand)
	return cmd
}

// documentStatus is the stored state of a document and, if asked for, of a
// change.
type documentStatus struct {
	Environment string           `json:"environment"`
	Current     *document.Stored `json:"current"`
	// Change is the change that was asked for, if it was ever in force.
	Change *document.Stored `json:"change,omitempty"`
	Token  string           `json:"token,omitempty"`
	// Zones says what each availability zone had in force on all daemons
	// when its relay last wrote it.
	Zones map[host.Zone]document.InForce `json:"zones"`
}

func newDocumentStatus(environment, token string, versions []document.Stored) documentStatus {
	s := documentStatus{Environment: environment, Token: token}
	if len(versions) == 0 {
		return s
	}
	s.Current = &versions[0]
	for i, v := range versions {
		if token != "" && v.Token == token {
			s.Change = &versions[i]
		}
	}
	return s
}

func (s documentStatus) write(w io.Writer) {
	if s.Current == nil {
		fmt.Fprintf(w, "%s has no document\n", s.Environment)
	} else {
		fmt.Fprintf(w, "%s version %d, hash %s, by %s at %s\n", s.Environment, s.Current.Version, s.Current.Hash, s.Current.Who, formatTime(s.Current.When))
	}
	for _, zone := range slices.Sorted(maps.Keys(s.Zones)) {
		f := s.Zones[zone]
		fmt.Fprintf(w, "%s: version %d in force on all %d daemons since %s\n", zone, f.Version, f.Hosts, formatTime(f.When))
	}
	switch {
	case s.Token == "":
	case s.Change == nil:
		fmt.Fprintln(w, "the change is not in force; if its write may still be applied, run the same command again with its --base and --token")
	case s.Change.Version == s.Current.Version:
		fmt.Fprintf(w, "the change is in force as version %d\n", s.Change.Version)
	default:
		fmt.Fprintf(w, "the change was in force as version %d, and has been replaced since\n", s.Change.Version)
	}
}

// formatTime formats a time for display, in UTC.
func formatTime(at time.Time) string {
	return at.UTC().Format(time.RFC3339)
}
