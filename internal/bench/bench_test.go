package bench

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
)

func TestBenchDocumentIsValid(t *testing.T) {
	_, problems := document.Parse(benchDocument)
	must.NoError(t, problems.Err())
}
