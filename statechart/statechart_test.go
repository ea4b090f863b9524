package statechart_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/statechart"
)

func TestParseRejectsInvalidCharts(t *testing.T) {
	cases := []struct{ name, states, want string }{
		{"unreachable", `{"a":{"doc":"","on":{"go":{"to":"b"}}},"b":{"doc":"","final":true},"c":{"doc":"","final":true}}`, "the state is unreachable"},
		{"unhandled", `{"a":{"doc":""}}`, "the event is not handled"},
		{"missing next state", `{"a":{"doc":"","on":{"go":{"to":"z"}}}}`, `next state "z" is missing`},
		{"undeclared", `{"a":{"doc":"","ignore":["go","stop"]}}`, "the event is not declared"},
		{"twice", `{"a":{"doc":"","on":{"go":{"to":"a"}},"ignore":["go"]}}`, "the event is handled twice"},
		{"initial", `{"b":{"doc":"","final":true}}`, "the initial state is missing"},
		{"final", `{"a":{"doc":"","final":true,"ignore":["go"]}}`, "a final state handles no event"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := statechart.Parse([]byte(`{"name":"x","doc":"","initial":"a","events":{"go":""},"states":` + c.states + `}`))
			must.ErrorContains(t, err, c.want)
		})
	}
}

func TestNextReturnsTransitionOrFalse(t *testing.T) {
	c, err := statechart.Parse([]byte(`{"name":"x","doc":"","initial":"a","events":{"go":"","stay":""},"states":{
		"a":{"doc":"","on":{"go":{"to":"b","do":["tell"]}},"ignore":["stay"]},"b":{"doc":"","final":true}}}`))
	must.NoError(t, err)
	next, ok := c.Next("a", "go")
	must.True(t, ok)
	must.Eq(t, statechart.Transition{To: "b", Actions: []statechart.Action{"tell"}}, next)
	_, ok = c.Next("a", "stay")
	must.False(t, ok)
	_, ok = c.Next("b", "go")
	must.False(t, ok)
}
