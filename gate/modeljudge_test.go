package gate

// judge checks what must always hold, from the targets' records.
func (w *world) judge() {
	for _, o := range w.ops {
		if o.waiting {
			w.fail("%s was never answered", o.body)
		}
		if !o.idempotent {
			w.judgeOnce(o)
		}
	}
	for i, s := range w.sites {
		if !s.gate.Idle() {
			w.fail("gate %d is not idle at the end", i)
		}
		if s.gate.slots != 0 {
			w.fail("gate %d holds %d slots at the end", i, s.gate.slots)
		}
		if len(s.held) != 0 {
			w.fail("gate %d still holds slices at the end", i)
		}
	}
	for _, e := range w.entries {
		if n := e.router.Live(); n != 0 {
			w.fail("%d calls are live at the end", n)
		}
	}
}

// judgeOnce checks an operation that must not repeat.
func (w *world) judgeOnce(o *op) {
	if o.ran > 1 {
		w.fail("%s ran %d times under %v, told %v", o.body, o.ran, o.ids, o.told)
	}
	for _, id := range o.notRun {
		if o.ranByID[id] > 0 {
			w.fail("%s was told that %s did not run, but it did; told %v", o.body, id, o.told)
		}
	}
	for _, id := range o.ids {
		if o.ranByID[id] > 0 && !o.done && !w.raised[w.riskKey(o, id)] {
			w.fail("%s ran as %s, its caller was not told, and nothing was raised; told %v", o.body, id, o.told)
		}
	}
}
