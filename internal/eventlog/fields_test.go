package eventlog_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
)

const root = "../.."

// logCall is a place in the code that writes a line.
type logCall struct {
	at     string
	event  string // Name of the constant in package event.
	fields []string
	whole  bool // All field names stand in the call itself.
}

// Each event that is defined is written somewhere, and each line has the fields
// that the catalogue promises, under the same names.
func TestLinesHaveTheFieldsOfTheCatalogue(t *testing.T) {
	names := constants(t)
	for _, c := range logCalls(t) {
		name, ok := names[c.event]
		test.True(t, ok, test.Sprintf("%s: %s is no event", c.at, c.event))
		promised := strings.Fields(fieldsOf(t, name))
		for _, f := range c.fields {
			test.SliceContains(t, promised, f, test.Sprintf("%s: %s has a field that the catalogue does not name", c.at, name))
		}
		if !c.whole {
			continue
		}
		for _, f := range promised {
			test.SliceContains(t, c.fields, f, test.Sprintf("%s: %s lacks a field", c.at, name))
		}
	}
	written := mentioned(t)
	for constant, name := range names {
		test.True(t, written[constant], test.Sprintf("nothing writes %s", name))
	}
}

// Each kind of decision that touches a request or changes what a daemon
// believes has a line, and the line says what decided it.
func TestEachDecisionHasItsLine(t *testing.T) {
	decisions := map[string]struct{ event, fields string }{
		"choice of host":       {"request_sent", "id app slice to epoch attempt"},
		"start at a target":    {"request_started", "id app slice epoch run key"},
		"retry":                {"request_sent", "id to attempt"},
		"refusal by a gate":    {"request_refused", "id code result epoch attempt jobs slots service_ms retry_after_ms"},
		"refusal at the entry": {"request_rejected", "id code result cause"},
		"give-up, answer":      {"request_answered", "id code result owner epoch attempt retry_after_ms"},
		"nothing was sent":     {"send_failed", "id to cause"},
		"outcome at risk":      {"outcome_met", "id code cause why"},
		"grant":                {"grant_answered", "app first last epoch hold_ms answer"},
		"refused grant":        {"grant_refused", "slice epoch"},
		"release":              {"release_answered", "app first last epoch answer"},
		"given up":             {"slice_released", "slice epoch"},
		"new owner":            {"slice_assigned", "slice reason from to epoch"},
		"planned move":         {"handover_named", "slice reason from next epoch"},
		"takeover":             {"takeover_recorded", "session detail"},
		"end of a session":     {"session_lost", "session detail"},
		"start of a session":   {"session_created", "session detail"},
		"membership":           {"witnesses_changed", "session detail"},
		"life of a target":     {"target_life", "app address target instance"},
		"lead":                 {"leadership_won", "term"},
		"end of a lead":        {"leadership_lost", "term"},
		"configuration":        {"document_in_force", "version"},
		"settings":             {"settings_reloaded", "store needs_restart"},
		"start":                {"started", "zone incarnation"},
		"stop":                 {"stopping", "reason"},
		"store lost":           {"store_call_failed", "op object cause"},
		"store regained":       {"store_reachable", "after_ms"},
	}
	for decision, line := range decisions {
		promised := strings.Fields(fieldsOf(t, line.event))
		for _, f := range strings.Fields(line.fields) {
			test.SliceContains(t, promised, f, test.Sprintf("%s: %s", decision, line.event))
		}
	}
}

func fieldsOf(t *testing.T, name string) string {
	t.Helper()
	for _, def := range event.All() {
		if def.Name == name {
			return def.Fields
		}
	}
	t.Fatalf("there is no event %s", name)
	return ""
}

// constants returns the names of events by those of their constants.
func constants(t *testing.T) map[string]string {
	out := map[string]string{}
	for _, file := range parsed(t, filepath.Join(root, "event")) {
		ast.Inspect(file.syntax, func(n ast.Node) bool {
			row, ok := n.(*ast.CompositeLit)
			if !ok || len(row.Elts) < 2 {
				return true
			}
			id, isName := row.Elts[0].(*ast.Ident)
			name, isText := row.Elts[1].(*ast.BasicLit)
			if isName && isText {
				out[id.Name] = unquoted(name)
			}
			return true
		})
	}
	must.MapNotEmpty(t, out)
	return out
}

type parsedFile struct {
	set    *token.FileSet
	syntax *ast.File
}

// parsed returns the code below a directory, without tests.
func parsed(t *testing.T, dir string) []parsedFile {
	var out []parsedFile
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		out = append(out, parsedFile{set, file})
		return err
	})
	must.NoError(t, err)
	return out
}

// mentioned returns the constants of package event that the code names.
func mentioned(t *testing.T) map[string]bool {
	out := map[string]bool{}
	for _, file := range parsed(t, root) {
		ast.Inspect(file.syntax, func(n ast.Node) bool {
			if e, ok := n.(ast.Expr); ok {
				if name, ok := eventOf(e); ok {
					out[name] = true
				}
			}
			return true
		})
	}
	return out
}

// logCalls returns all calls that name an event of package event first.
func logCalls(t *testing.T) []logCall {
	var out []logCall
	for _, dir := range []string{"internal", "platform", "cmd"} {
		for _, file := range parsed(t, filepath.Join(root, dir)) {
			ast.Inspect(file.syntax, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					out = append(out, logCallOf(file.set, call)...)
				}
				return true
			})
		}
	}
	must.SliceNotEmpty(t, out)
	return out
}

func logCallOf(set *token.FileSet, call *ast.CallExpr) []logCall {
	if len(call.Args) == 0 || isLookup(call) {
		return nil
	}
	name, ok := eventOf(call.Args[0])
	if !ok {
		return nil
	}
	c := logCall{at: set.Position(call.Pos()).String(), event: name, whole: !call.Ellipsis.IsValid()}
	for i := 1; i < len(call.Args); i += 2 {
		text, ok := call.Args[i].(*ast.BasicLit)
		if !ok || text.Kind != token.STRING {
			c.whole = false
			break
		}
		c.fields = append(c.fields, unquoted(text))
	}
	return []logCall{c}
}

// isLookup reports whether a call asks about an event and writes no line.
func isLookup(call *ast.CallExpr) bool {
	f, ok := call.Fun.(*ast.SelectorExpr)
	return ok && slices.Contains([]string{"Lookup", "Enabled", "ID"}, f.Sel.Name)
}

func eventOf(e ast.Expr) (string, bool) {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	pkg, ok := s.X.(*ast.Ident)
	return s.Sel.Name, ok && pkg.Name == "event"
}

func unquoted(l *ast.BasicLit) string {
	text, err := strconv.Unquote(l.Value)
	if err != nil {
		return l.Value
	}
	return text
}
