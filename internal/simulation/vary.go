package simulation

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// varied gives the descriptions that the vary table asks for: each sets one key to one value and leaves the rest of the
// text as it is.
func (e *Experiment) varied(text []byte) (all []*Experiment, err error) {
	var faults []error
	err = eachList("", e.Vary, func(key string, values []any) {
		for _, value := range values {
			v, err := with(text, key, value)
			if err != nil {
				faults = append(faults, fmt.Errorf("vary.%s, value %v: %w", key, value, err))
				continue
			}
			v.Name = fmt.Sprintf("%s, %s %v", e.Name, key, value)
			all = append(all, v)
		}
	})
	return all, errors.Join(append(faults, err)...)
}

// eachList goes through the lists of a table and of those in it, by their dotted keys in the order of the alphabet.
func eachList(under string, table map[string]any, f func(key string, values []any)) error {
	var faults []error
	for _, key := range slices.Sorted(maps.Keys(table)) {
		switch v := table[key].(type) {
		case map[string]any:
			faults = append(faults, eachList(under+key+".", v, f))
		case []any:
			f(under+key, v)
		default:
			faults = append(faults, fmt.Errorf("vary.%s%s: expected a list of values, not %v", under, key, v))
		}
	}
	return errors.Join(faults...)
}

// with reads a description in which a key has another value.
func with(text []byte, key string, value any) (*Experiment, error) {
	var plain map[string]any
	if err := toml.Unmarshal(text, &plain); err != nil {
		return nil, err
	}
	delete(plain, "vary")
	at, path := plain, strings.Split(key, ".")
	for _, name := range path[:len(path)-1] {
		table, ok := at[name].(map[string]any)
		if !ok {
			table = map[string]any{}
			at[name] = table
		}
		at = table
	}
	at[path[len(path)-1]] = value
	changed, err := toml.Marshal(plain)
	if err != nil {
		return nil, err
	}
	e, err := Parse(changed)
	if err != nil {
		_, what, placed := strings.Cut(err.Error(), ": ") // the line is one of our own text, which nobody sees
		if strings.HasPrefix(err.Error(), "line ") && placed {
			err = errors.New(what)
		}
		return nil, err
	}
	return e, nil
}
