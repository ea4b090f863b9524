package document

import (
	"bytes"
	_ "embed" // The schema file.
	"fmt"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaFile []byte

const schemaURL = "https://rhubarbring.example/document.json"

// Schema returns the JSON Schema (draft 2020-12) of documents.
func Schema() []byte {
	return bytes.Clone(schemaFile)
}

// schema compiles the schema once. It panics if the embedded file is invalid,
// which every test of Parse would detect.
var schema = sync.OnceValue(func() *jsonschema.Schema {
	tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaFile))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, tree); err != nil {
		panic(err)
	}
	return compiler.MustCompile(schemaURL)
})

// validate returns the problems that the schema finds in the tree.
func validate(tree any) Problems {
	err := schema().Validate(tree)
	if err == nil {
		return nil
	}
	top, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return Problems{{Reason: err.Error(), Remedy: "compare the document with docs/DOCUMENT.md"}}
	}
	f := errorCollector{tree: tree, printer: message.NewPrinter(language.English)}
	f.walk(top)
	return f.problems
}

// errorCollector converts the schema library's nested errors to problems.
type errorCollector struct {
	tree     any
	printer  *message.Printer
	problems Problems
}

func (f *errorCollector) walk(e *jsonschema.ValidationError) {
	for _, cause := range e.Causes {
		f.walk(cause)
	}
	if len(e.Causes) == 0 {
		f.leaf(e)
	}
}

func (f *errorCollector) leaf(e *jsonschema.ValidationError) {
	at := pathOf(f.tree, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			f.add(Problem{Field: joinPath(at, name), Reason: "the field is missing", Remedy: "add it: " + descriptionOf(joinPath(at, name))})
		}
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			f.add(Problem{
				Field:  joinPath(at, name),
				Value:  valueAt(f.tree, append(e.InstanceLocation, name)),
				Reason: "there is no field of this name",
				Remedy: "remove it, or correct its name to one of " + strings.Join(siblingNames(at), ", "),
			})
		}
	default:
		reason, remedy := f.explain(e.ErrorKind)
		f.add(Problem{
			Field:  at,
			Value:  valueAt(f.tree, e.InstanceLocation),
			Reason: reason,
			Remedy: remedy + ": " + descriptionOf(at),
		})
	}
}

func (f *errorCollector) add(p Problem) {
	f.problems = append(f.problems, p)
}

// explain describes how a value violates a keyword of the schema, and what
// would satisfy it.
func (f *errorCollector) explain(k jsonschema.ErrorKind) (reason, remedy string) {
	switch k := k.(type) {
	case *kind.Type:
		want := strings.Join(k.Want, " or ")
		return fmt.Sprintf("it is of type %s, not %s", k.Got, want), "write a value of type " + want
	case *kind.Pattern:
		form := patternText(k.Want)
		return "it is not " + form, "write " + form
	case *kind.Minimum:
		return "it is below " + k.Want.RatString(), "write " + k.Want.RatString() + " or more"
	case *kind.Maximum:
		return "it is above " + k.Want.RatString(), "write " + k.Want.RatString() + " or less"
	case *kind.ExclusiveMinimum:
		return "it is not above " + k.Want.RatString(), "write more than " + k.Want.RatString()
	case *kind.MinItems:
		return fmt.Sprintf("it lists %d", k.Got), fmt.Sprintf("list %d or more", k.Want)
	case *kind.MaxItems:
		return fmt.Sprintf("it lists %d", k.Got), fmt.Sprintf("list %d or fewer", k.Want)
	}
	return k.LocalizedString(f.printer), "write what the reference says"
}

// patternText describes in words what a pattern of the schema accepts.
func patternText(pattern string) string {
	switch pattern {
	case namePattern():
		return `a name of 1 to 48 lower-case letters, digits and hyphens, beginning with a letter`
	case durationPattern():
		return `a duration such as "250ms", "5s" or "1m30s"`
	}
	return `a URL such as "http://10.0.0.9:8080/alarms"`
}
