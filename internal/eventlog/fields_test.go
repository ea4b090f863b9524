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

const repositoryRoot = "../.."

// logCall is a call in the source that logs an event.
type logCall struct {
	position string
	event    string // Name of the constant in package event.
	fields   []string
	complete bool // The call itself has all field names, as literals.
}

// Each defined event is used in the source, and each call that logs one passes
// the fields that its definition declares, under the same names.
func TestLogCallsPassTheDeclaredFields(t *testing.T) {
	names := eventNamesByConstant(t)
	for _, c := range logCalls(t) {
		name, ok := names[c.event]
		test.True(t, ok, test.Sprintf("%s: %s is no event", c.position, c.event))
		declared := strings.Fields(declaredFields(t, name))
		for _, f := range c.fields {
			test.SliceContains(t, declared, f, test.Sprintf("%s: %s has a field that its definition does not declare", c.position, name))
		}
		if !c.complete {
			continue
		}
		for _, f := range declared {
			test.SliceContains(t, c.fields, f, test.Sprintf("%s: %s lacks a field", c.position, name))
		}
	}
	referenced := referencedEvents(t)
	for constant, name := range names {
		test.True(t, referenced[constant], test.Sprintf("nothing writes %s", name))
	}
}

// Each kind of decision that affects a request or the state of a daemon has an
// event, and its fields give the grounds of the decision.
func TestEachDecisionHasAnEventWithItsFields(t *testing.T) {
	decisions := map[string]struct{ event, fields string }{
		"choice of host":           {"request_sent", "id app slice to epoch attempt"},
		"start at a target":        {"request_started", "id app slice epoch run key"},
		"retry":                    {"request_sent", "id to attempt"},
		"refusal by a gate":        {"request_refused", "id code result epoch attempt jobs slots service_ms retry_after_ms"},
		"refusal at the entry":     {"request_rejected", "id code result cause"},
		"answer to the caller":     {"request_answered", "id code result owner epoch attempt retry_after_ms"},
		"nothing was sent":         {"send_failed", "id to cause"},
		"outcome at risk":          {"outcome_met", "id code cause why"},
		"grant":                    {"grant_answered", "app instance first last epoch hold_ms answer"},
		"refused grant":            {"grant_refused", "slice epoch"},
		"release":                  {"release_answered", "app instance first last epoch answer"},
		"slice released":           {"slice_released", "slice epoch"},
		"new owner":                {"slice_assigned", "slice reason from to epoch"},
		"planned move":             {"handover_named", "slice reason from next epoch"},
		"takeover":                 {"takeover_recorded", "session detail"},
		"end of a session":         {"session_lost", "session detail"},
		"start of a session":       {"session_created", "session detail"},
		"change of witnesses":      {"witnesses_changed", "session detail"},
		"new instance of a target": {"target_life", "app address target instance"},
		"leadership won":           {"leadership_won", "term"},
		"leadership lost":          {"leadership_lost", "term"},
		"configuration":            {"document_in_force", "version"},
		"settings":                 {"settings_reloaded", "store needs_restart"},
		"start of the daemon":      {"started", "zone incarnation"},
		"stop of the daemon":       {"stopping", "reason"},
		"store call failed":        {"store_call_failed", "op object cause"},
		"store reachable again":    {"store_reachable", "after_ms"},
	}
	for decision, line := range decisions {
		declared := strings.Fields(declaredFields(t, line.event))
		for _, f := range strings.Fields(line.fields) {
			test.SliceContains(t, declared, f, test.Sprintf("%s: %s", decision, line.event))
		}
	}
}

func declaredFields(t *testing.T, name string) string {
	t.Helper()
	for _, def := range event.All() {
		if def.Name == name {
			return def.Fields
		}
	}
	t.Fatalf("there is no event %s", name)
	return ""
}

// eventNamesByConstant returns the names of events by the names of their
// constants.
func eventNamesByConstant(t *testing.T) map[string]string {
	out := map[string]string{}
	for _, file := range parseDir(t, filepath.Join(repositoryRoot, "event")) {
		ast.Inspect(file.syntax, func(n ast.Node) bool {
			row, ok := n.(*ast.CompositeLit)
			if !ok || len(row.Elts) < 2 {
				return true
			}
			id, isName := row.Elts[0].(*ast.Ident)
			name, isText := row.Elts[1].(*ast.BasicLit)
			if isName && isText {
				out[id.Name] = unquote(name)
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

// parseDir returns the parsed source files below a directory, without tests.
func parseDir(t *testing.T, dir string) []parsedFile {
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

// referencedEvents returns the constants of package event that the source uses.
func referencedEvents(t *testing.T) map[string]bool {
	out := map[string]bool{}
	for _, file := range parseDir(t, repositoryRoot) {
		ast.Inspect(file.syntax, func(n ast.Node) bool {
			if e, ok := n.(ast.Expr); ok {
				if name, ok := eventConstant(e); ok {
					out[name] = true
				}
			}
			return true
		})
	}
	return out
}

// logCalls returns all calls whose first argument is a constant of package event
// and that log it.
func logCalls(t *testing.T) []logCall {
	var out []logCall
	for _, dir := range []string{"internal", "platform", "cmd"} {
		for _, file := range parseDir(t, filepath.Join(repositoryRoot, dir)) {
			ast.Inspect(file.syntax, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					out = append(out, logCallFrom(file.set, call)...)
				}
				return true
			})
		}
	}
	must.SliceNotEmpty(t, out)
	return out
}

func logCallFrom(set *token.FileSet, call *ast.CallExpr) []logCall {
	if len(call.Args) == 0 || isLookup(call) {
		return nil
	}
	name, ok := eventConstant(call.Args[0])
	if !ok {
		return nil
	}
	c := logCall{position: set.Position(call.Pos()).String(), event: name, complete: !call.Ellipsis.IsValid()}
	for i := 1; i < len(call.Args); i += 2 {
		text, ok := call.Args[i].(*ast.BasicLit)
		if !ok || text.Kind != token.STRING {
			c.complete = false
			break
		}
		c.fields = append(c.fields, unquote(text))
	}
	return []logCall{c}
}

// isLookup reports whether a call looks an event up and does not log it.
func isLookup(call *ast.CallExpr) bool {
	f, ok := call.Fun.(*ast.SelectorExpr)
	return ok && slices.Contains([]string{"Lookup", "Enabled", "ID"}, f.Sel.Name)
}

func eventConstant(e ast.Expr) (string, bool) {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	pkg, ok := s.X.(*ast.Ident)
	return s.Sel.Name, ok && pkg.Name == "event"
}

func unquote(l *ast.BasicLit) string {
	text, err := strconv.Unquote(l.Value)
	if err != nil {
		return l.Value
	}
	return text
}
