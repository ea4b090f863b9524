package statechart_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/statechart"
)

const doorChart = `{"name":"door","doc":"d","initial":"shut","events":{"push":"p","lock":"l"},"states":{
"shut":{"doc":"s","on":{"push":{"to":"open","do":["creak"]},"lock":{"to":"locked"}}},
"open":{"doc":"o","on":{"push":{"to":"shut"}},"ignore":["lock"]},
"locked":{"doc":"l","final":true}}}`

// The compiled table has the same transitions as the chart, and lists that do
// not match the chart are refused.
func TestTableAgreesWithChart(t *testing.T) {
	c, err := statechart.Parse([]byte(doorChart))
	must.NoError(t, err)
	states := []statechart.State{"open", "shut", "locked"}
	events := []statechart.Event{"lock", "push"}
	actions := []statechart.Action{"ring", "creak"}
	table, err := c.Compile(states, events, actions)
	must.NoError(t, err)
	for i, s := range states {
		must.Eq(t, s, table.StateName(uint8(i)))
		for n, e := range events {
			cell := table.Next(uint8(i), uint8(n))
			tr, taken := c.Next(s, e)
			must.Eq(t, taken, cell.Taken)
			if !taken {
				continue
			}
			must.Eq(t, tr.To, states[cell.To])
			must.Eq(t, len(tr.Actions), len(cell.Actions))
			for k, do := range cell.Actions {
				must.Eq(t, tr.Actions[k], actions[do])
			}
		}
	}
	_, err = c.Compile(states[:2], events, actions)
	must.Error(t, err)
	_, err = c.Compile(states, []statechart.Event{"lock", "pull"}, actions)
	must.Error(t, err)
	_, err = c.Compile(states, events, actions[:1])
	must.Error(t, err)
}
