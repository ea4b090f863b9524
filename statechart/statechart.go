// Package statechart interprets state charts. A chart is a JSON document that
// defines for each state the transitions by event, and the actions of each
// transition. Packages that make decisions without I/O define their state
// machines as charts and not in code.
//
// Every state that is not final must define for every event of the chart either
// a transition ("on") or that it is ignored ("ignore"). Parse rejects a chart
// with an unreachable state, an unhandled event or a missing next state.
package statechart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Action names an action that the owner of a state machine performs on a
// transition.
type Action string

// Transition is what an event causes in a state.
type Transition struct {
	// To is the next state.
	To State `json:"to"`
	// Actions lists the actions in order; it may be empty.
	Actions []Action `json:"do,omitempty"`
}

// StateSpec describes one state.
type StateSpec struct {
	// Doc describes in one sentence what holds in the state.
	Doc string `json:"doc"`
	// Final marks a state that no event leaves.
	Final bool `json:"final,omitempty"`
	// On maps each event that causes a transition to that transition.
	On map[Event]Transition `json:"on,omitempty"`
	// Ignore lists the events that have no effect in the state.
	Ignore []Event `json:"ignore,omitempty"`
}

// Chart is a validated state chart. It is safe for concurrent use.
type Chart struct {
	// Name is the chart's name, which is that of its file without extension.
	Name string `json:"name"`
	// Doc describes what the chart decides.
	Doc string `json:"doc"`
	// Initial is the state that a new machine starts in.
	Initial State `json:"initial"`
	// Events maps every event of the chart to its description.
	Events map[Event]string `json:"events"`
	// States maps every state to its definition.
	States map[State]StateSpec `json:"states"`
}

// Error describes what is invalid in a chart, and where.
type Error struct {
	Chart  string
	State  State
	Event  Event
	Detail string
}

// Error returns the error as one line.
func (e *Error) Error() string {
	return fmt.Sprintf("chart %q, state %q, event %q: %s", e.Chart, e.State, e.Event, e.Detail)
}

// Parse parses and validates a chart.
func Parse(raw []byte) (*Chart, error) {
	var c Chart
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return nil, &Error{Chart: c.Name, Detail: err.Error()}
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Next returns the transition that an event causes in a state. It returns false
// if the event is ignored there, or if the state is final.
func (c *Chart) Next(s State, e Event) (Transition, bool) {
	t, ok := c.States[s].On[e]
	return t, ok
}

func (c *Chart) validate() error {
	if _, ok := c.States[c.Initial]; !ok {
		return &Error{Chart: c.Name, State: c.Initial, Detail: "the initial state is missing"}
	}
	for _, s := range c.stateNames() {
		if err := c.validateState(s); err != nil {
			return err
		}
	}
	return c.validateReachable()
}

func (c *Chart) validateState(s State) error {
	node := c.States[s]
	if node.Final && len(node.On)+len(node.Ignore) > 0 {
		return &Error{Chart: c.Name, State: s, Detail: "a final state handles no event"}
	}
	handled := make(map[Event]int)
	for e, t := range node.On {
		handled[e]++
		if _, ok := c.States[t.To]; !ok {
			return &Error{Chart: c.Name, State: s, Event: e, Detail: fmt.Sprintf("next state %q is missing", t.To)}
		}
	}
	for _, e := range node.Ignore {
		handled[e]++
	}
	for e, n := range handled {
		if _, ok := c.Events[e]; !ok {
			return &Error{Chart: c.Name, State: s, Event: e, Detail: "the event is not declared"}
		}
		if n > 1 {
			return &Error{Chart: c.Name, State: s, Event: e, Detail: "the event is handled twice"}
		}
	}
	if node.Final {
		return nil
	}
	for _, e := range c.eventNames() {
		if handled[e] == 0 {
			return &Error{Chart: c.Name, State: s, Event: e, Detail: "the event is not handled"}
		}
	}
	return nil
}

func (c *Chart) validateReachable() error {
	seen := map[State]bool{c.Initial: true}
	todo := []State{c.Initial}
	for len(todo) > 0 {
		s := todo[0]
		todo = todo[1:]
		for _, t := range c.States[s].On {
			if !seen[t.To] {
				seen[t.To] = true
				todo = append(todo, t.To)
			}
		}
	}
	for _, s := range c.stateNames() {
		if !seen[s] {
			return &Error{Chart: c.Name, State: s, Detail: "the state is unreachable"}
		}
	}
	return nil
}

func (c *Chart) stateNames() []State {
	return slices.Sorted(maps.Keys(c.States))
}

func (c *Chart) eventNames() []Event {
	return slices.Sorted(maps.Keys(c.Events))
}

// Markdown returns the chart as a section of Markdown: a Mermaid diagram, then
// the descriptions of the states and events.
func (c *Chart) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n```mermaid\nstateDiagram-v2\n    [*] --> %s\n", c.Name, c.Doc, c.Initial)
	for _, s := range c.stateNames() {
		node := c.States[s]
		for _, e := range c.eventNames() {
			if t, ok := node.On[e]; ok {
				fmt.Fprintf(&b, "    %s --> %s : %s%s\n", s, t.To, e, markdownActions(t.Actions))
			}
		}
		if node.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s)
		}
	}
	b.WriteString("```\n\n")
	for _, s := range c.stateNames() {
		fmt.Fprintf(&b, "- State `%s`: %s\n", s, c.States[s].Doc)
	}
	for _, e := range c.eventNames() {
		fmt.Fprintf(&b, "- Event `%s`: %s\n", e, c.Events[e])
	}
	return b.String()
}

func markdownActions(do []Action) string {
	if len(do) == 0 {
		return ""
	}
	names := make([]string, len(do))
	for i, a := range do {
		names[i] = string(a)
	}
	return " / " + strings.Join(names, ", ")
}
