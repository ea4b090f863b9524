package document

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestReferencePageMatchesSchema(t *testing.T) {
	raw, err := os.ReadFile("../docs/DOCUMENT.md")
	must.NoError(t, err)
	must.Eq(t, ReferencePage(), string(raw))
}

// The schema has exactly the fields of the types, each with a description, and
// requires those without omitempty.
func TestSchemaMatchesTypes(t *testing.T) {
	checkFields(t, "", schemaNode(), reflect.TypeFor[Document]())
}

func checkFields(t *testing.T, path string, n *node, typ reflect.Type) {
	var names []string
	for f := range typ.Fields() {
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(names, name)
		field := n.Properties[name]
		must.NotNil(t, field, must.Sprintf("%s.%s is not in the schema", path, name))
		must.NotEq(t, "", field.Description, must.Sprintf("%s.%s", path, name))
		must.Eq(t, options != "omitempty", requiredText(n, name) == "yes", must.Sprintf("%s.%s", path, name))
		inner, element := field.resolve(), f.Type
		if element.Kind() == reflect.Slice {
			inner, element = inner.Items.resolve(), element.Elem()
		}
		if element.Kind() == reflect.Pointer {
			element = element.Elem()
		}
		if element.Kind() == reflect.Struct {
			checkFields(t, path+"."+name, inner, element)
		}
	}
	must.SliceContainsAll(t, names, sortedNames(n.Properties))
}
