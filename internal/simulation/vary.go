package simulation

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// variants returns the experiments of the vary table. Each one sets one key of the TOML text to one of its values and leaves
// the rest unchanged.
func (e *Experiment) variants(text []byte) (variants []*Experiment, err error) {
	var errs []error
	err = visitLists("", e.Vary, func(key string, values []any) {
		for _, value := range values {
			variant, err := parseWith(text, key, value)
			if err != nil {
				errs = append(errs, fmt.Errorf("vary.%s, value %v: %w", key, value, err))
				continue
			}
			variant.Name = fmt.Sprintf("%s, %s %v", e.Name, key, value)
			variants = append(variants, variant)
		}
	})
	return variants, errors.Join(append(errs, err)...)
}

// visitLists calls visit for each list in a table and its nested tables, with its dotted key. Keys are visited in
// alphabetical order.
func visitLists(prefix string, table map[string]any, visit func(key string, values []any)) error {
	var errs []error
	for _, key := range slices.Sorted(maps.Keys(table)) {
		switch v := table[key].(type) {
		case map[string]any:
			errs = append(errs, visitLists(prefix+key+".", v, visit))
		case []any:
			visit(prefix+key, v)
		default:
			errs = append(errs, fmt.Errorf("vary.%s%s: expected a list of values, not %v", prefix, key, v))
		}
	}
	return errors.Join(errs...)
}

// parseWith parses an experiment after it has set a dotted key to a value.
func parseWith(text []byte, key string, value any) (*Experiment, error) {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	delete(document, "vary")
	parent, path := document, strings.Split(key, ".")
	for _, name := range path[:len(path)-1] {
		table, ok := parent[name].(map[string]any)
		if !ok {
			table = map[string]any{}
			parent[name] = table
		}
		parent = table
	}
	parent[path[len(path)-1]] = value
	encoded, err := toml.Marshal(document)
	if err != nil {
		return nil, err
	}
	e, err := Parse(encoded)
	if err != nil {
		_, message, hasPosition := strings.Cut(err.Error(), ": ") // the position refers to the encoded text, which the user doesn't see
		if strings.HasPrefix(err.Error(), "line ") && hasPosition {
			err = errors.New(message)
		}
		return nil, err
	}
	return e, nil
}
