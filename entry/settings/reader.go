package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// reader walks a parsed file along the fields of Settings.
type reader struct {
	file     string
	text     []byte
	problems []Problem
	// lines holds the line of each key that was found.
	lines map[string]int
}

func (r *reader) problem(line int, key, message string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Key: key, Message: message})
}

// line returns the line number of an offset in the text.
func (r *reader) line(offset int) int {
	return bytes.Count(r.text[:offset], []byte("\n")) + 1
}

// lineOf returns the line of the first of the keys that is in the file, or 1.
func (r *reader) lineOf(keys ...string) int {
	for _, key := range keys {
		if line, found := r.lines[key]; found {
			return line
		}
	}
	return 1
}

func (r *reader) sort() {
	sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].Line < r.problems[j].Line })
}

// object reads the root object.
func (r *reader) object(v hujson.Value, s *Settings) {
	r.value(v, "", reflect.ValueOf(s).Elem())
}

// value reads one value into the field target.
func (r *reader) value(v hujson.Value, key string, target reflect.Value) {
	line := r.line(v.StartOffset)
	r.lines[key] = line
	if text, ok := target.Addr().Interface().(textValue); ok {
		r.textValue(v, line, key, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		r.structValue(v, line, key, target)
	case reflect.Slice:
		r.sliceValue(v, line, key, target)
	default:
		r.numberValue(v, line, key, target)
	}
}

func (r *reader) textValue(v hujson.Value, line int, key string, target textValue) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		r.problem(line, key, "must be a string, not "+kindOf(v))
		return
	}
	if err := target.parse(literal.String()); err != nil {
		r.problem(line, key, err.Error())
	}
}

func (r *reader) numberValue(v hujson.Value, line int, key string, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		r.problem(line, key, "must be a number, not "+kindOf(v))
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		r.problem(line, key, fmt.Sprintf("%s is not a whole number in range", literal))
		return
	}
	if target.Kind() == reflect.Int && target.Int() <= 0 {
		r.problem(line, key, "must be above 0")
	}
}

func (r *reader) sliceValue(v hujson.Value, line int, key string, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.problem(line, key, "must be a list, not "+kindOf(v))
		return
	}
	out := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		r.value(element, fmt.Sprintf("%s[%d]", key, i), out.Index(i))
	}
	target.Set(out)
}

func (r *reader) structValue(v hujson.Value, line int, key string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.problem(line, key, "must be an object, not "+kindOf(v))
		return
	}
	seen := make(map[string]bool)
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		path := join(key, name)
		nameLine := r.line(member.Name.StartOffset)
		field, known := fieldNamed(target, name)
		switch {
		case !known:
			r.problem(nameLine, path, "is not a known key")
		case seen[name]:
			r.problem(nameLine, path, "is given twice")
		default:
			r.value(member.Value, path, field)
		}
		seen[name] = true
	}
	r.missing(line, key, target, seen)
}

// missing reports each required key below target that is not in seen.
func (r *reader) missing(line int, key string, target reflect.Value, seen map[string]bool) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name := field.Tag.Get("json")
		if seen[name] {
			if field.Tag.Get("required") != "" && isEmptyList(target.Field(i)) && !r.reported(join(key, name)) {
				r.problem(r.lineOf(join(key, name)), join(key, name), "is empty")
			}
			continue
		}
		if field.Tag.Get("required") != "" {
			r.problem(line, join(key, name), "is missing")
		}
		if field.Type.Kind() == reflect.Struct {
			r.missing(line, join(key, name), target.Field(i), nil)
		}
	}
}

func isEmptyList(v reflect.Value) bool { return v.Kind() == reflect.Slice && v.Len() == 0 }

// reported tells whether the key itself already has a problem.
func (r *reader) reported(key string) bool {
	for _, p := range r.problems {
		if p.Key == key {
			return true
		}
	}
	return false
}

// fieldNamed returns the field of a struct with the given JSON name.
func fieldNamed(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if target.Type().Field(i).Tag.Get("json") == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func kindOf(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	}
	return "a boolean"
}

// syntaxPosition is the position in an error of hujson.Parse.
var syntaxPosition = regexp.MustCompile(`line (\d+), column \d+: `)

func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Message: strings.TrimPrefix(err.Error(), "hujson: ")}
	if m := syntaxPosition.FindStringSubmatch(p.Message); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = strings.Replace(p.Message, m[0], "", 1)
	}
	return p
}
