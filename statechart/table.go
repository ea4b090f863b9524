package statechart

// Table is a chart compiled for hot paths. States, events and actions are indexes
// into the lists given to Compile; a package defines them as constants in the
// same order. A Table is safe for concurrent use.
type Table struct {
	cells  [][]Cell
	states []State
}

// Cell is the transition that an event causes in a state.
type Cell struct {
	// To is the next state.
	To uint8
	// Taken is false if the event is ignored in the state or the state is final.
	Taken bool
	// Actions lists the actions of the transition in order.
	Actions []uint8
}

// Compile returns the chart's table. The lists must name exactly the states and
// events of the chart, and every action that it uses; otherwise Compile returns
// an error, so that a package's constants cannot silently diverge from its chart.
func (c *Chart) Compile(states []State, events []Event, actions []Action) (*Table, error) {
	if len(states) != len(c.States) {
		return nil, &Error{Chart: c.Name, Detail: "the number of states differs from the program's"}
	}
	if len(events) != len(c.Events) {
		return nil, &Error{Chart: c.Name, Detail: "the number of events differs from the program's"}
	}
	t := &Table{states: states}
	for _, s := range states {
		row, err := c.compileRow(s, states, events, actions)
		if err != nil {
			return nil, err
		}
		t.cells = append(t.cells, row)
	}
	return t, nil
}

// MustCompile is Compile for charts that are part of the program. It panics if
// the lists do not match the chart.
func (c *Chart) MustCompile(states []State, events []Event, actions []Action) *Table {
	t, err := c.Compile(states, events, actions)
	if err != nil {
		panic(err)
	}
	return t
}

// Next returns the transition that event e causes in state s.
func (t *Table) Next(s, e uint8) Cell {
	return t.cells[s][e]
}

// StateName returns the name of a state.
func (t *Table) StateName(s uint8) State {
	return t.states[s]
}

func (c *Chart) compileRow(s State, states []State, events []Event, actions []Action) ([]Cell, error) {
	node, ok := c.States[s]
	if !ok {
		return nil, &Error{Chart: c.Name, State: s, Detail: "the program's state is not in the chart"}
	}
	row := make([]Cell, len(events))
	for i, e := range events {
		if _, ok := c.Events[e]; !ok {
			return nil, &Error{Chart: c.Name, Event: e, Detail: "the program's event is not in the chart"}
		}
		tr, taken := node.On[e]
		if !taken {
			continue
		}
		cell := Cell{Taken: true, To: uint8(indexOf(states, tr.To))}
		for _, a := range tr.Actions {
			n := indexOf(actions, a)
			if n < 0 {
				return nil, &Error{Chart: c.Name, State: s, Event: e, Detail: "the program has no action " + string(a)}
			}
			cell.Actions = append(cell.Actions, uint8(n))
		}
		row[i] = cell
	}
	return row, nil
}

func indexOf[T comparable](list []T, want T) int {
	for i, v := range list {
		if v == want {
			return i
		}
	}
	return -1
}
