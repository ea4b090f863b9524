package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/operator"
)

// evacuateFlags are the flags of the command evacuate.
type evacuateFlags struct {
	end, status bool
}

func (t *tool) evacuateCommand() *cobra.Command {
	var f evacuateFlags
	cmd := &cobra.Command{
		Use:   "evacuate ZONE | evacuate --end ZONE | evacuate --status",
		Short: "Take all work from the targets of an availability zone",
		Long: `evacuate writes to the store that a zone is evacuated. When it has returned without
an error, the store has confirmed it: within the time that the daemons' settings
give (evacuation.within) no target in the zone gets any work, and the slices of
its hosts go elsewhere. --end lets the targets serve again. Daemons without that
setting do not take part.`,
		Args: func(cmd *cobra.Command, args []string) error {
			if f.status {
				return cobra.NoArgs(cmd, args)
			}
			return cobra.ExactArgs(1)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.status {
				return t.listEvacuations(cmd)
			}
			return t.changeEvacuation(cmd, host.Zone(args[0]), f.end)
		},
	}
	cmd.Flags().BoolVar(&f.end, "end", false, "end the evacuation of the zone")
	cmd.Flags().BoolVar(&f.status, "status", false, "list the evacuated zones")
	cmd.MarkFlagsMutuallyExclusive("end", "status")
	return cmd
}

// changeEvacuation begins or ends the evacuation of a zone.
func (t *tool) changeEvacuation(cmd *cobra.Command, zone host.Zone, end bool) error {
	o, err := t.newChangeClient()
	if err != nil {
		return err
	}
	e := operator.Evacuation{Zone: zone, Record: evacuation.Record{Who: t.who, SinceMs: time.Now().UnixMilli()}}
	if end {
		err = o.EndEvacuation(t.environment, zone)
	} else {
		err = o.Evacuate(t.environment, zone, e.Record)
	}
	if err != nil {
		return err
	}
	return t.printResult(cmd, e, func(w io.Writer) {
		fmt.Fprintf(w, "%s %s\n", choose(end, "the evacuation has ended:", "confirmed, being evacuated:"), zone)
	})
}

func (t *tool) listEvacuations(cmd *cobra.Command) error {
	o, err := t.newEnvironmentClient()
	if err != nil {
		return err
	}
	list, err := o.Evacuations(t.environment)
	if err != nil {
		return err
	}
	return t.printResult(cmd, list, func(w io.Writer) { writeEvacuations(w, list) })
}

func writeEvacuations(w io.Writer, list []operator.Evacuation) {
	if len(list) == 0 {
		fmt.Fprintln(w, "none")
		return
	}
	fmt.Fprintln(w, "ZONE\tSINCE\tWHO")
	for _, e := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\n", e.Zone, formatTime(time.UnixMilli(e.SinceMs)), orDefault(e.Who, "-"))
	}
}

// evacuatedZone is a zone that some daemons count as evacuated.
type evacuatedZone struct {
	Zone    host.Zone `json:"zone"`
	Daemons int       `json:"daemons"`
}

// countEvacuated adds the zones that one more daemon counts as evacuated, in order.
func countEvacuated(counts []evacuatedZone, zones []host.Zone) []evacuatedZone {
	for _, zone := range zones {
		i, found := slices.BinarySearchFunc(counts, zone, func(e evacuatedZone, z host.Zone) int { return cmp.Compare(e.Zone, z) })
		if !found {
			counts = slices.Insert(counts, i, evacuatedZone{Zone: zone})
		}
		counts[i].Daemons++
	}
	return counts
}
