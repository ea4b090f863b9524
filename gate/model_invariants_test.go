package gate

// checkInvariants checks at the end of a model what always has to hold, using
// the targets' records.
func (w *world) checkInvariants() {
	for _, o := range w.ops {
		if o.waiting {
			w.violationf("%s was never answered", o.body)
		}
		if !o.idempotent {
			w.checkNonIdempotent(o)
		}
	}
	for i, node := range w.nodes {
		if !node.gate.Idle() {
			w.violationf("gate %d is not idle at the end", i)
		}
		if node.gate.busySlots != 0 {
			w.violationf("gate %d holds %d slots at the end", i, node.gate.busySlots)
		}
		if len(node.held) != 0 {
			w.violationf("gate %d still holds slices at the end", i)
		}
	}
	for _, e := range w.entries {
		if n := e.router.Live(); n != 0 {
			w.violationf("%d calls are live at the end", n)
		}
	}
}

// checkNonIdempotent checks a non-idempotent operation: it ran at most once,
// what was answered as not run did not run, and what ran without its caller
// being told was reported as a risk.
func (w *world) checkNonIdempotent(o *op) {
	if o.runs > 1 {
		w.violationf("%s ran %d times under %v, told %v", o.body, o.runs, o.ids, o.codes)
	}
	for _, id := range o.notRunIDs {
		if o.runsByID[id] > 0 {
			w.violationf("%s was told that %s did not run, but it did; told %v", o.body, id, o.codes)
		}
	}
	for _, id := range o.ids {
		if o.runsByID[id] > 0 && !o.done && !w.risks[w.riskKey(o, id)] {
			w.violationf("%s ran as %s, its caller was not told, and no risk was reported; told %v", o.body, id, o.codes)
		}
	}
}
