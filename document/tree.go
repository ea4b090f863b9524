package document

import (
	"encoding/json"
	"strconv"
	"strings"
)

// treeReader reads JSON into maps, slices and json.Numbers, and records fields
// that an object has twice.
type treeReader struct {
	dec      *json.Decoder
	problems Problems
}

func (r *treeReader) value(path string) (any, error) {
	token, err := r.dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return r.object(path)
	case json.Delim('['):
		return r.array(path)
	}
	return token, nil
}

func (r *treeReader) object(path string) (any, error) {
	object := make(map[string]any)
	for r.dec.More() {
		token, err := r.dec.Token()
		if err != nil {
			return nil, err
		}
		name := token.(string)
		at := joinPath(path, name)
		value, err := r.value(at)
		if err != nil {
			return nil, err
		}
		if _, twice := object[name]; twice {
			r.problems = append(r.problems, Problem{Field: at, Reason: "the field stands there twice", Remedy: "remove one of them"})
		}
		object[name] = value
	}
	_, err := r.dec.Token()
	return object, err
}

func (r *treeReader) array(path string) (any, error) {
	array := []any{}
	for r.dec.More() {
		value, err := r.value(path + "[" + strconv.Itoa(len(array)) + "]")
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := r.dec.Token()
	return array, err
}

// prune returns the tree without the fields that have problems, so that the
// rest can still be checked. Array items are set to null instead, to keep the
// indexes of the other items.
func prune(tree any, problems Problems) any {
	bad := make(map[string]bool, len(problems))
	for _, p := range problems {
		bad[p.Field] = true
	}
	return pruneAt(tree, "", bad)
}

func pruneAt(tree any, path string, bad map[string]bool) any {
	if bad[path] {
		return nil
	}
	switch node := tree.(type) {
	case map[string]any:
		kept := make(map[string]any, len(node))
		for name, value := range node {
			if at := joinPath(path, name); !bad[at] {
				kept[name] = pruneAt(value, at, bad)
			}
		}
		return kept
	case []any:
		kept := make([]any, len(node))
		for i, value := range node {
			kept[i] = pruneAt(value, path+"["+strconv.Itoa(i)+"]", bad)
		}
		return kept
	}
	return tree
}

// joinPath appends a field's name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// pathOf converts a location of the schema library to a path. It needs the
// tree to tell an array index from a field whose name is a number.
func pathOf(tree any, location []string) string {
	var b strings.Builder
	for _, part := range location {
		switch node := tree.(type) {
		case []any:
			b.WriteString("[" + part + "]")
			if i, err := strconv.Atoi(part); err == nil && i < len(node) {
				tree = node[i]
			}
		case map[string]any:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(part)
			tree = node[part]
		}
	}
	return b.String()
}

// valueAt returns the value at a location as shortened JSON.
func valueAt(tree any, location []string) string {
	for _, part := range location {
		switch node := tree.(type) {
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(node) {
				return ""
			}
			tree = node[i]
		case map[string]any:
			value, ok := node[part]
			if !ok {
				return ""
			}
			tree = value
		}
	}
	return shortJSON(tree)
}

func shortJSON(value any) string {
	const limit = 80
	raw, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	if len(raw) > limit {
		return string(raw[:limit]) + "…"
	}
	return string(raw)
}
