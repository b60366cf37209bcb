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

// reader decodes a parsed file into Settings by reflection over its fields, and
// collects all problems on the way.
type reader struct {
	file     string
	text     []byte
	problems []Problem
	// lines holds the line number of each key found in the file.
	lines map[string]int
}

func (r *reader) addProblem(line int, key, message string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Key: key, Message: message})
}

// line returns the line number of an offset in the text.
func (r *reader) line(offset int) int {
	return bytes.Count(r.text[:offset], []byte("\n")) + 1
}

// lineOf returns the line number of the first of the given keys that is in the
// file, or 1 if none is.
func (r *reader) lineOf(keys ...string) int {
	for _, key := range keys {
		if line, found := r.lines[key]; found {
			return line
		}
	}
	return 1
}

func (r *reader) sortProblems() {
	sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].Line < r.problems[j].Line })
}

// readRoot reads the root object of the file.
func (r *reader) readRoot(v hujson.Value, s *Settings) {
	r.readValue(v, "", reflect.ValueOf(s).Elem())
}

// readValue reads one value into the field target.
func (r *reader) readValue(v hujson.Value, key string, target reflect.Value) {
	line := r.line(v.StartOffset)
	r.lines[key] = line
	if text, ok := target.Addr().Interface().(textValue); ok {
		r.readText(v, line, key, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		r.readObject(v, line, key, target)
	case reflect.Slice:
		r.readList(v, line, key, target)
	default:
		r.readNumber(v, line, key, target)
	}
}

func (r *reader) readText(v hujson.Value, line int, key string, target textValue) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		r.addProblem(line, key, "must be a string, not "+kindOf(v))
		return
	}
	if err := target.parse(literal.String()); err != nil {
		r.addProblem(line, key, err.Error())
	}
}

func (r *reader) readNumber(v hujson.Value, line int, key string, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		r.addProblem(line, key, "must be a number, not "+kindOf(v))
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		r.addProblem(line, key, fmt.Sprintf("%s is not a whole number in range", literal))
		return
	}
	if target.Kind() == reflect.Int && target.Int() <= 0 {
		r.addProblem(line, key, "must be above 0")
	}
}

func (r *reader) readList(v hujson.Value, line int, key string, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.addProblem(line, key, "must be a list, not "+kindOf(v))
		return
	}
	out := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		r.readValue(element, fmt.Sprintf("%s[%d]", key, i), out.Index(i))
	}
	target.Set(out)
}

func (r *reader) readObject(v hujson.Value, line int, key string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.addProblem(line, key, "must be an object, not "+kindOf(v))
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
			r.addProblem(nameLine, path, "is not a known key")
		case seen[name]:
			r.addProblem(nameLine, path, "is given twice")
		default:
			r.readValue(member.Value, path, field)
		}
		seen[name] = true
	}
	r.reportMissing(line, key, target, seen)
}

// reportMissing adds a problem for each required key below target that is not in
// seen, and for each required list that is empty.
func (r *reader) reportMissing(line int, key string, target reflect.Value, seen map[string]bool) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name := field.Tag.Get("json")
		if seen[name] {
			if field.Tag.Get("required") != "" && isEmptyList(target.Field(i)) && !r.hasProblem(join(key, name)) {
				r.addProblem(r.lineOf(join(key, name)), join(key, name), "is empty")
			}
			continue
		}
		if field.Tag.Get("required") != "" {
			r.addProblem(line, join(key, name), "is missing")
		}
		if field.Type.Kind() == reflect.Struct {
			r.reportMissing(line, join(key, name), target.Field(i), nil)
		}
	}
}

func isEmptyList(v reflect.Value) bool { return v.Kind() == reflect.Slice && v.Len() == 0 }

// hasProblem reports whether the key already has a problem.
func (r *reader) hasProblem(key string) bool {
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

// syntaxPosition matches the position in an error of hujson.Parse.
var syntaxPosition = regexp.MustCompile(`line (\d+), column \d+: `)

// syntaxProblem converts an error of hujson.Parse, moving its position from the
// message to Line.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Message: strings.TrimPrefix(err.Error(), "hujson: ")}
	if m := syntaxPosition.FindStringSubmatch(p.Message); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = strings.Replace(p.Message, m[0], "", 1)
	}
	return p
}
