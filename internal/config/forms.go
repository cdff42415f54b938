package config

import (
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// A form parses and checks a JSON value of one kind.
type form[T any] struct {
	expected string // completes the error "KEY: expected ..."
	parse    func(any) (value T, ok bool)
}

// numberForm returns a form of the numbers that fulfil a condition.
func numberForm(expected string, valid func(float64) bool) form[float64] {
	return form[float64]{expected, func(v any) (float64, bool) {
		x, ok := v.(float64)
		return x, ok && valid(x)
	}}
}

// textForm returns a form of the strings that fulfil a condition.
func textForm(expected string, valid func(string) bool) form[string] {
	return form[string]{expected, func(v any) (string, bool) {
		x, ok := v.(string)
		return x, ok && valid(x)
	}}
}

// integerForm returns a form of the integers from lowest on.
func integerForm(expected string, lowest int) form[int] {
	return form[int]{expected, func(v any) (int, bool) {
		x, ok := integer.parse(v)
		return x, ok && x >= lowest
	}}
}

// durationForm returns a form of the times in milliseconds from shortest to longest.
func durationForm(shortest, longest time.Duration) form[time.Duration] {
	expected := fmt.Sprintf("a time in milliseconds from %d to %d", shortest.Milliseconds(), longest.Milliseconds())
	return form[time.Duration]{expected, func(v any) (time.Duration, bool) {
		x, ok := v.(float64)
		d := time.Duration(x * float64(time.Millisecond))
		return d, ok && d >= shortest && d <= longest
	}}
}

// isAddress reports whether s is HOST:PORT.
func isAddress(s string) bool {
	_, _, err := net.SplitHostPort(s)
	return err == nil
}

const (
	maxInteger      = 1e15 // JSON numbers hold integers up to 2^53, some 9e15, exactly
	maxMilliseconds = 1e12 // some thirty years
)

var (
	nonNegative = numberForm("a number, 0 or more", func(x float64) bool { return x >= 0 })
	fraction    = numberForm("a number from 0 to 1", func(x float64) bool { return x >= 0 && x <= 1 })
	integer     = form[int]{"a whole number", func(v any) (int, bool) {
		x, ok := v.(float64)
		if !ok || x != math.Trunc(x) || math.Abs(x) >= maxInteger {
			return 0, false
		}
		return int(x), true
	}}
	positiveInteger = integerForm("a whole number, 1 or more", 1)
	duration        = form[routing.Time]{"a time in milliseconds, 0 or more", func(v any) (routing.Time, bool) {
		x, ok := v.(float64)
		if !ok || !(x >= 0 && x < maxMilliseconds) {
			return 0, false
		}
		return Ticks(x), true
	}}
	text = form[string]{"a text", func(v any) (string, bool) {
		x, ok := v.(string)
		return x, ok
	}}
	hostPort  = textForm("an address as 10.0.0.4:7100", isAddress)
	leaseName = textForm("a name of letters, digits and -_./:@", lease.ValidName)
	boolean   = form[bool]{"true or false", func(v any) (bool, bool) {
		x, ok := v.(bool)
		return x, ok
	}}
	idempotence = form[routing.Idempotence]{"safe, keyed or unsafe", func(v any) (routing.Idempotence, bool) {
		switch v {
		case "safe":
			return routing.Safe, true
		case "keyed":
			return routing.IdempotentByKey, true
		case "unsafe":
			return routing.Unsafe, true
		}
		return routing.Unsafe, false
	}}
)

// object is a JSON object of the configuration. Reading its keys collects the errors.
type object struct {
	values map[string]any // as decoded; unknown keys are ignored
	path   string         // prefix of its keys in errors
	faults *[]error
}

// newRoot returns the object of a whole file.
func newRoot(values map[string]any) object {
	return object{values: values, faults: new([]error)}
}

func (o object) fault(key, expected string) {
	*o.faults = append(*o.faults, fmt.Errorf("%s%s: expected %s", o.path, key, expected))
}

// optional reads a key into a field, which keeps its value where the key is absent or at fault.
func optional[T any](o object, key string, f form[T], into *T) {
	if v, found := find(o.values, key); found {
		parseInto(o, key, f, v, into)
	}
}

// required reads a key into a field; its absence is an error.
func required[T any](o object, key string, f form[T], into *T) {
	v, _ := find(o.values, key)
	parseInto(o, key, f, v, into)
}

func parseInto[T any](o object, key string, f form[T], v any, into *T) {
	x, ok := f.parse(v)
	if !ok {
		o.fault(key, f.expected)
		return
	}
	*into = x
}

// optionalTimeout reads a key that is a time above 0.
func optionalTimeout(o object, key string, into *time.Duration) {
	v, found := find(o.values, key)
	if !found {
		return
	}
	t, ok := duration.parse(v)
	if !ok || t <= 0 {
		o.fault(key, "a time in milliseconds above 0")
		return
	}
	*into = Duration(t)
}

// element returns the i-th object of a list in o, an empty one if v is no object.
func (o object) element(key string, i int, v any) object {
	values, _ := v.(map[string]any)
	return object{values: values, path: fmt.Sprintf("%s%s[%d].", o.path, key, i), faults: o.faults}
}

// stringAt returns the value of a key, "" if it is absent or no string.
func (o object) stringAt(key string) string {
	s, _ := o.values[key].(string)
	return s
}

// numberAt returns the value of a key, 0 if it is absent or no number.
func (o object) numberAt(key string) float64 {
	x, _ := o.values[key].(float64)
	return x
}

// objects returns the named objects of a list, and their indices by name.
func objects(o object, key string) (all []object, indices map[string]int) {
	indices = map[string]int{}
	for i, v := range items(o.values[key]) {
		x := o.element(key, i, v)
		name, ok := x.values["name"].(string)
		if !ok {
			x.fault("name", text.expected)
		}
		indices[name] = i
		all = append(all, x)
	}
	return all, indices
}

// find returns the value at a dotted path. null counts as absent.
func find(m map[string]any, path string) (any, bool) {
	var v any = m
	for name := range strings.SplitSeq(path, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil, false
		}
		v = m[name]
	}
	return v, v != nil
}

// items returns the elements of a list, none if v is no list.
func items(v any) []any {
	list, _ := v.([]any)
	return list
}
