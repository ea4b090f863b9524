package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"
)

// MaxBytes is the largest document that Parse accepts. Stored documents may be
// larger.
const MaxBytes = 256 << 10

// Parse reads and checks a document. It returns the document if there are no
// problems, and otherwise all problems, sorted by field: those that the schema
// finds, and those that the further checks find in fields that the schema
// accepts. A document that is too long, is not UTF-8 or JSON, or has a field
// twice is refused without the other checks.
func Parse(raw []byte) (*Document, Problems) {
	if len(raw) > MaxBytes {
		return nil, Problems{{
			Reason: fmt.Sprintf("%d bytes exceed the limit of %d", len(raw), MaxBytes),
			Remedy: "shorten the document",
		}}
	}
	if !utf8.Valid(raw) {
		return nil, Problems{{Reason: "the bytes are not valid UTF-8", Remedy: "save the document as UTF-8"}}
	}
	tree, problems := readTree(raw)
	if len(problems) > 0 {
		return nil, problems
	}
	problems = append(problems, validate(tree)...)
	doc, err := decode(prune(tree, problems))
	if err != nil {
		problems = append(problems, Problem{Reason: err.Error(), Remedy: "write whole numbers without a fraction or exponent"})
	}
	for _, p := range check(doc) {
		if !problems.covers(p.Field) {
			p.Value = valueAt(tree, pathPart.FindAllString(p.Field, -1))
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		problems.sort()
		return nil, problems
	}
	return doc, nil
}

// decode converts the generic tree to a Document. Fields that were removed
// because of a problem stay zero.
func decode(tree any) (*Document, error) {
	doc := &Document{}
	raw, err := json.Marshal(tree)
	if err != nil {
		return doc, err
	}
	return doc, json.Unmarshal(raw, doc)
}

// readTree parses JSON into a generic tree. It refuses an object that has a
// field twice, which encoding/json would silently accept.
func readTree(raw []byte) (any, Problems) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	r := treeReader{dec: dec}
	tree, err := r.value("")
	if err != nil {
		line, column := lineColumn(raw, dec.InputOffset())
		return nil, Problems{{
			Reason: fmt.Sprintf("not JSON at line %d, column %d: %v", line, column, err),
			Remedy: "correct the syntax there",
		}}
	}
	if dec.More() {
		return nil, Problems{{Reason: "something follows the document's closing brace", Remedy: "remove it"}}
	}
	return tree, r.problems
}

func lineColumn(raw []byte, offset int64) (line, column int) {
	before := raw[:min(int(offset), len(raw))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
