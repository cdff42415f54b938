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

// valueParser parses and validates a decoded JSON value.
type valueParser[T any] struct {
	expected string // completes the error "KEY: expected ..."
	parse    func(any) (value T, ok bool)
}

// newNumberParser returns a parser of numbers for which valid returns true.
func newNumberParser(expected string, valid func(float64) bool) valueParser[float64] {
	return valueParser[float64]{expected, func(v any) (float64, bool) {
		x, ok := v.(float64)
		return x, ok && valid(x)
	}}
}

// newStringParser returns a parser of strings for which valid returns true.
func newStringParser(expected string, valid func(string) bool) valueParser[string] {
	return valueParser[string]{expected, func(v any) (string, bool) {
		x, ok := v.(string)
		return x, ok && valid(x)
	}}
}

// newIntegerParser returns a parser of integers that are at least minimum.
func newIntegerParser(expected string, minimum int) valueParser[int] {
	return valueParser[int]{expected, func(v any) (int, bool) {
		x, ok := integerParser.parse(v)
		return x, ok && x >= minimum
	}}
}

// newDurationParser returns a parser of durations in milliseconds that are at least minimum and at most maximum.
func newDurationParser(minimum, maximum time.Duration) valueParser[time.Duration] {
	expected := fmt.Sprintf("a time in milliseconds from %d to %d", minimum.Milliseconds(), maximum.Milliseconds())
	return valueParser[time.Duration]{expected, func(v any) (time.Duration, bool) {
		x, ok := v.(float64)
		d := time.Duration(x * float64(time.Millisecond))
		return d, ok && d >= minimum && d <= maximum
	}}
}

// isAddress reports whether s has the format HOST:PORT.
func isAddress(s string) bool {
	_, _, err := net.SplitHostPort(s)
	return err == nil
}

const (
	maxInteger      = 1e15 // float64 represents all integers up to 2^53, about 9e15, exactly
	maxMilliseconds = 1e12 // about thirty years
)

var (
	nonNegativeParser = newNumberParser("a number, 0 or more", func(x float64) bool { return x >= 0 })
	fractionParser    = newNumberParser("a number from 0 to 1", func(x float64) bool { return x >= 0 && x <= 1 })
	integerParser     = valueParser[int]{"a whole number", func(v any) (int, bool) {
		x, ok := v.(float64)
		if !ok || x != math.Trunc(x) || math.Abs(x) >= maxInteger {
			return 0, false
		}
		return int(x), true
	}}
	positiveIntegerParser = newIntegerParser("a whole number, 1 or more", 1)
	durationParser        = valueParser[routing.Time]{"a time in milliseconds, 0 or more", func(v any) (routing.Time, bool) {
		x, ok := v.(float64)
		if !ok || !(x >= 0 && x < maxMilliseconds) {
			return 0, false
		}
		return MillisecondsToTime(x), true
	}}
	stringParser = valueParser[string]{"a text", func(v any) (string, bool) {
		x, ok := v.(string)
		return x, ok
	}}
	hostPortParser  = newStringParser("an address as 10.0.0.4:7100", isAddress)
	leaseNameParser = newStringParser("a name of letters, digits and -_./:@", lease.ValidName)
	boolParser      = valueParser[bool]{"true or false", func(v any) (bool, bool) {
		x, ok := v.(bool)
		return x, ok
	}}
	idempotenceParser = valueParser[routing.Idempotence]{"safe, keyed or unsafe", func(v any) (routing.Idempotence, bool) {
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

// object is a JSON object of the configuration. Errors in its keys are collected in errs.
type object struct {
	values map[string]any // decoded JSON; unknown keys are ignored
	path   string         // prefix of the keys in error messages
	errs   *[]error
}

// newRootObject returns the top-level object of a file, with no errors yet.
func newRootObject(values map[string]any) object {
	return object{values: values, errs: new([]error)}
}

// addError adds the error "KEY: expected ..." for a key of the object.
func (o object) addError(key, expected string) {
	*o.errs = append(*o.errs, fmt.Errorf("%s%s: expected %s", o.path, key, expected))
}

// readOptional reads a key into a field. The field keeps its value if the key is absent or invalid.
func readOptional[T any](o object, key string, p valueParser[T], field *T) {
	if v, found := lookup(o.values, key); found {
		parseField(o, key, p, v, field)
	}
}

// readRequired reads a key into a field. An absent key is an error.
func readRequired[T any](o object, key string, p valueParser[T], field *T) {
	v, _ := lookup(o.values, key)
	parseField(o, key, p, v, field)
}

func parseField[T any](o object, key string, p valueParser[T], v any, field *T) {
	x, ok := p.parse(v)
	if !ok {
		o.addError(key, p.expected)
		return
	}
	*field = x
}

// readOptionalTimeout reads a key that holds a duration above 0, in milliseconds.
func readOptionalTimeout(o object, key string, field *time.Duration) {
	v, found := lookup(o.values, key)
	if !found {
		return
	}
	t, ok := durationParser.parse(v)
	if !ok || t <= 0 {
		o.addError(key, "a time in milliseconds above 0")
		return
	}
	*field = TimeToDuration(t)
}

// element returns v, the i-th element of the list at a key of o, as an object. The object is empty if v is not a JSON object.
func (o object) element(key string, i int, v any) object {
	values, _ := v.(map[string]any)
	return object{values: values, path: fmt.Sprintf("%s%s[%d].", o.path, key, i), errs: o.errs}
}

// stringValue returns the value of a key, or "" if it is absent or not a string.
func (o object) stringValue(key string) string {
	s, _ := o.values[key].(string)
	return s
}

// numberValue returns the value of a key, or 0 if it is absent or not a number.
func (o object) numberValue(key string) float64 {
	x, _ := o.values[key].(float64)
	return x
}

// namedObjects returns the elements of the list at a key, and their indices by the value of "name". An element without a name is
// an error.
func namedObjects(o object, key string) (list []object, indices map[string]int) {
	indices = map[string]int{}
	for i, v := range listItems(o.values[key]) {
		entry := o.element(key, i, v)
		name, ok := entry.values["name"].(string)
		if !ok {
			entry.addError("name", stringParser.expected)
		}
		indices[name] = i
		list = append(list, entry)
	}
	return list, indices
}

// lookup returns the value at a dotted path, and whether it exists. A null value counts as absent.
func lookup(m map[string]any, path string) (any, bool) {
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

// listItems returns the elements of v, or nil if v is not a list.
func listItems(v any) []any {
	list, _ := v.([]any)
	return list
}
