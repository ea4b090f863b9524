// Package doctest reads the pages of docs/ for tests that compare them with the code.
package doctest

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// NumberedRows returns the rows of a page's tables that begin with a number.
func NumberedRows(t *testing.T, path string) []string {
	t.Helper()
	raw, err := os.ReadFile(path)
	must.NoError(t, err)
	var rows []string
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		if len(line) > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9' {
			rows = append(rows, line)
		}
	}
	return rows
}
