package document

import (
	"encoding/json"
	"maps"
	"regexp"
	"slices"
	"strings"
	"sync"
)

// node is a JSON Schema, limited to the keywords that the document's schema
// uses.
type node struct {
	Description      string           `json:"description"`
	Type             string           `json:"type"`
	Pattern          string           `json:"pattern"`
	Ref              string           `json:"$ref"`
	Required         []string         `json:"required"`
	Properties       map[string]*node `json:"properties"`
	Items            *node            `json:"items"`
	Minimum          *json.Number     `json:"minimum"`
	Maximum          *json.Number     `json:"maximum"`
	ExclusiveMinimum *json.Number     `json:"exclusiveMinimum"`
	MinItems         *json.Number     `json:"minItems"`
	MaxItems         *json.Number     `json:"maxItems"`
	Defs             map[string]*node `json:"$defs"`
}

var schemaNode = sync.OnceValue(func() *node {
	var n node
	if err := json.Unmarshal(schemaFile, &n); err != nil {
		panic(err)
	}
	return &n
})

func namePattern() string {
	return schemaNode().Defs["name"].Pattern
}

func durationPattern() string {
	return schemaNode().Defs["duration"].Pattern
}

// resolve follows a reference to the schema's definitions.
func (n *node) resolve() *node {
	if n.Ref == "" {
		return n
	}
	return schemaNode().Defs[strings.TrimPrefix(n.Ref, "#/$defs/")]
}

var pathPart = regexp.MustCompile(`[^.\[\]]+`)

// findField returns the schema of the field at a path, before its reference is
// followed; nil if the schema has none.
func findField(path string) *node {
	n := schemaNode()
	for _, part := range pathPart.FindAllString(path, -1) {
		n = n.resolve()
		if n.Items != nil {
			n = n.Items
			continue
		}
		n = n.Properties[part]
		if n == nil {
			return nil
		}
	}
	return n
}

// descriptionOf returns the description of the field at a path, or of its
// nearest ancestor that has one.
func descriptionOf(path string) string {
	for {
		if n := findField(path); n != nil && n.Description != "" {
			return n.Description
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return schemaNode().Description
		}
		path = path[:cut]
	}
}

// siblingNames returns the names of the fields of the object at a path.
func siblingNames(path string) []string {
	n := findField(path)
	if n == nil {
		return nil
	}
	return sortedNames(n.resolve().Properties)
}

func sortedNames(fields map[string]*node) []string {
	return slices.Sorted(maps.Keys(fields))
}
