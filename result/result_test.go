package result_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/doctest"
	"github.com/rhubarbring/rhubarbring/result"
)

// The table in docs/RESULT-CODES.md matches the package's codes.
func TestDocsTableMatchesCodes(t *testing.T) {
	rows := doctest.NumberedRows(t, "../docs/RESULT-CODES.md")
	var want []string
	for _, i := range result.All() {
		want = append(want, fmt.Sprintf("| %d | %s | %s | %d | %s |", i.Code, i.Name, i.Outcome, i.HTTPStatus, i.Advice))
	}
	must.Eq(t, want, rows)
}

func TestCodesAreUniqueAndAscending(t *testing.T) {
	names := map[string]bool{}
	last := -1
	for _, i := range result.All() {
		must.Greater(t, last, int(i.Code))
		must.False(t, names[i.Name])
		names[i.Name] = true
		last = int(i.Code)
	}
}

// An undefined code must never be taken for "not run".
func TestUndefinedCodeIsUnknown(t *testing.T) {
	must.Eq(t, result.Unknown, result.Code(9999).Outcome())
}
