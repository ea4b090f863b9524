package document

import (
	"fmt"
	"strings"
)

// ReferencePage returns the text of docs/DOCUMENT.md, which describes every
// field of the schema.
func ReferencePage() string {
	var b strings.Builder
	b.WriteString("# Configuration document\n\nWritten by `make docs` from document/schema.json; a test checks that both agree.\n\n")
	b.WriteString(schemaNode().Description + "\n\n")
	b.WriteString("A duration is a string such as `\"250ms\"`, `\"5s\"` or `\"1m30s\"`; " + patternText(namePattern()) + " is called a name below.\n")
	b.WriteString("Fields that aren't listed here are refused. `rhubarb validate FILE` names everything that is wrong at once.\n")
	writeObject(&b, "", schemaNode())
	b.WriteString("\n## Checks beyond the schema\n\n")
	for _, rule := range ruleTexts {
		b.WriteString("- " + rule + "\n")
	}
	return b.String()
}

// ruleTexts describes the main checks that Parse and NewPlan make beyond the
// schema.
var ruleTexts = []string{
	"`trial` differs from `environment`.",
	"Regions, availability zones and apps have names of their own; a zone's name is unique across regions.",
	"Each pair of regions has exactly one link, and a link joins two different regions of the document.",
	"`request_share` and `control_share` of a link are together at most 1.",
	"`slices` is set exactly for apps divided by key, `hot_keys` only for those, and `max_moves_per_round` is at most `slices`.",
	fmt.Sprintf("`deadline.default` and `deadline.maximum` are from %s to %s, the maximum not below the default.", MinDeadline, MaxDeadline),
	"At least one of an app's `weights` is above 0.",
	fmt.Sprintf("`cold_start` is at most %s, and is set only with `cold_requests_per_second`.", MaxColdStart),
	"`hedge_budget` is only for apps that are not divided by key.",
	fmt.Sprintf("`hot_keys.expiry` is from %s to %s.", MinHotKeyExpiry, MaxAlarmBound),
	fmt.Sprintf("The times of `caller_limits` are from %s to %s.", MinHeaderTimeout, MaxCallerTimeout),
	fmt.Sprintf("The bounds of `alarm` are from %s to %s.", MinAlarmBound, MaxAlarmBound),
	"No object has the same field twice, and the bytes are valid UTF-8.",
	"In a running environment an app keeps `divided_by_key` and `slices`: a change would give keys two owners.",
}

// writeObject writes the table of an object's fields, then the tables of the
// objects in it.
func writeObject(b *strings.Builder, path string, n *node) {
	title := "The document"
	if path != "" {
		title = "`" + path + "`"
	}
	fmt.Fprintf(b, "\n## %s\n\n| Field | Type | Needed | Meaning |\n|---|---|---|---|\n", title)
	names := sortedNames(n.Properties)
	for _, name := range names {
		field := n.Properties[name]
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", name, field.typeText(), requiredText(n, name), field.Description)
	}
	for _, name := range names {
		inner, suffix := n.Properties[name].resolve(), ""
		if inner.Items != nil {
			inner, suffix = inner.Items.resolve(), "[]"
		}
		if inner.Properties != nil {
			writeObject(b, joinPath(path, name)+suffix, inner)
		}
	}
}

func requiredText(n *node, name string) string {
	for _, required := range n.Required {
		if required == name {
			return "yes"
		}
	}
	return "no"
}

// typeText describes the values that a field accepts.
func (n *node) typeText() string {
	switch n.Ref {
	case "#/$defs/name":
		return "name"
	case "#/$defs/duration":
		return "duration"
	}
	r := n.resolve()
	if r.Items != nil {
		return "list of " + r.Items.typeText() + r.countText()
	}
	return r.Type + r.boundsText()
}

func (n *node) boundsText() string {
	switch {
	case n.Minimum != nil && n.Maximum != nil:
		return fmt.Sprintf(", %s to %s", *n.Minimum, *n.Maximum)
	case n.ExclusiveMinimum != nil && n.Maximum != nil:
		return fmt.Sprintf(", above %s up to %s", *n.ExclusiveMinimum, *n.Maximum)
	}
	return ""
}

func (n *node) countText() string {
	switch {
	case n.MinItems != nil && n.MaxItems != nil:
		return fmt.Sprintf(", %s to %s of them", *n.MinItems, *n.MaxItems)
	case n.MaxItems != nil:
		return fmt.Sprintf(", up to %s of them", *n.MaxItems)
	}
	return ""
}
