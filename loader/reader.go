package loader

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"goldcreststack.example/goldcreststack/modeler"
)

// reader walks the syntax tree of one file and collects findings.
type reader struct {
	file     string
	text     []byte
	findings []Finding
}

// field describes one member of an object and how to read its value.
type field struct {
	name     string
	required bool
	read     func(node)
}

// node is a value of the syntax tree with its path, such as
// entry.limits.body.
type node struct {
	path  string
	value hujson.Value
}

func (n node) child(name string) string {
	if n.path == "" {
		return name
	}
	return n.path + "." + name
}

// syntaxErrorPattern matches the errors of hujson, which state line and
// column only in their text.
var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// open reads and parses a file. If ok is false, there is no syntax tree and
// r holds the finding.
func open(path string) (r *reader, root node, ok bool) {
	r = &reader{file: path}
	text, err := os.ReadFile(path)
	if err != nil {
		reason := err
		var e *os.PathError
		if errors.As(err, &e) {
			reason = e.Err
		}
		r.findings = append(r.findings, Finding{File: path, Reason: reason.Error()})
		return r, node{}, false
	}
	return parse(path, text)
}

func parse(path string, text []byte) (r *reader, root node, ok bool) {
	r = &reader{file: path, text: text}
	value, err := hujson.Parse(text)
	if err != nil {
		r.findings = append(r.findings, syntaxFinding(path, err))
		return r, node{}, false
	}
	return r, node{value: value}, true
}

func syntaxFinding(path string, err error) Finding {
	parts := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if parts == nil {
		return Finding{File: path, Line: 1, Reason: "syntax: " + err.Error()}
	}
	line, _ := strconv.Atoi(parts[1])
	return Finding{File: path, Line: line, Reason: fmt.Sprintf("syntax: column %s: %s", parts[2], parts[3])}
}

func (r *reader) line(offset int) int {
	return 1 + bytes.Count(r.text[:offset], []byte("\n"))
}

func (r *reader) report(n node, format string, args ...any) {
	r.findings = append(r.findings, Finding{
		File:   r.file,
		Line:   r.line(n.value.StartOffset),
		Field:  n.path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// object reads the members of the object n that are listed in fields, and
// reports unknown, repeated and missing members. It returns false if n is
// not an object.
func (r *reader) object(n node, fields []field) bool {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		r.report(n, "must be an object, not %s", typeName(n.value))
		return false
	}
	seen := make([]bool, len(fields))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		index := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		child := node{path: n.child(name), value: member.Value}
		if index < 0 {
			r.report(node{path: child.path, value: member.Name}, "unknown field; known are %s", joinFieldNames(fields))
			continue
		}
		if seen[index] {
			r.report(node{path: child.path, value: member.Name}, "field is set twice")
			continue
		}
		seen[index] = true
		fields[index].read(child)
	}
	for i, f := range fields {
		if f.required && !seen[i] {
			r.report(node{path: n.child(f.name), value: n.value}, "field is missing")
		}
	}
	return true
}

// list calls read for each element of the array n. It returns false if n is
// not an array.
func (r *reader) list(n node, read func(node)) bool {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		r.report(n, "must be a list, not %s", typeName(n.value))
		return false
	}
	for i, element := range array.Elements {
		read(node{path: fmt.Sprintf("%s[%d]", n.path, i), value: element})
	}
	return true
}

func (r *reader) stringValue(n node) (string, bool) {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		r.report(n, "must be a text, not %s", typeName(n.value))
		return "", false
	}
	return literal.String(), true
}

// name reads a name. It must be usable in the paths of requests and in log
// lines.
func (r *reader) name(n node) string {
	text, ok := r.stringValue(n)
	if !ok {
		return ""
	}
	if text == "" || strings.TrimSpace(text) != text || strings.ContainsAny(text, "\n\r\t/?#%") {
		r.report(n, "must be a name without surrounding spaces, line breaks or any of / ? # %%")
		return ""
	}
	return text
}

func (r *reader) names(n node) []string {
	var values []string
	r.list(n, func(element node) {
		name := r.name(element)
		if name == "" {
			return
		}
		r.reportRepeated(element, slices.Index(values, name))
		values = append(values, name)
	})
	return values
}

func (r *reader) folder(n node) string {
	text, ok := r.stringValue(n)
	if ok && strings.TrimSpace(text) == "" {
		r.report(n, "must name a folder")
	}
	return text
}

func (r *reader) boolean(n node) bool {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		r.report(n, "must be true or false, not %s", typeName(n.value))
		return false
	}
	return literal.Bool()
}

// integer reads an integer that must be in the range from low to high.
func (r *reader) integer(n node, low, high int64) int64 {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		r.report(n, "must be a number, not %s", typeName(n.value))
		return 0
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	switch {
	case err != nil:
		r.report(n, "must be a whole number, not %s", literal)
		return 0
	case number < low:
		r.report(n, "must be at least %d, not %d", low, number)
		return 0
	case number > high:
		r.report(n, "must be at most %d, not %d", high, number)
		return 0
	}
	return number
}

// duration reads a duration that must be at least low.
func (r *reader) duration(n node, low time.Duration) time.Duration {
	text, ok := r.stringValue(n)
	if !ok {
		return 0
	}
	var d modeler.Duration
	if err := d.UnmarshalText([]byte(text)); err != nil {
		r.report(n, "%s", err)
		return 0
	}
	if d.Std() < low {
		r.report(n, "must be at least %s, not %s", low, text)
		return 0
	}
	return d.Std()
}

// address reads an address of the form IP:port. Set wildcard for an address
// to listen on, which may have an unspecified IP such as 0.0.0.0.
func (r *reader) address(n node, wildcard bool) string {
	text, ok := r.stringValue(n)
	if !ok {
		return ""
	}
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		r.report(n, "%q is not an IP address with a port, such as 192.0.2.1:8080", text)
		return ""
	case address.Port() == 0:
		r.report(n, "%q has no usable port", text)
		return ""
	case address.Addr().IsUnspecified() && !wildcard:
		r.report(n, "%q can't be dialled: it names every address of a host", text)
		return ""
	}
	return address.String()
}

// reportRepeated reports that n repeats the element of its list with index
// earlier, unless earlier is negative.
func (r *reader) reportRepeated(n node, earlier int) {
	if earlier >= 0 {
		r.report(n, "repeats element %d of the list", earlier)
	}
}

func (r *reader) addresses(n node) []string {
	var values []string
	r.list(n, func(element node) {
		address := r.address(element, false)
		if address == "" {
			return
		}
		r.reportRepeated(element, slices.Index(values, address))
		values = append(values, address)
	})
	if array, ok := n.value.Value.(*hujson.Array); ok && len(array.Elements) == 0 {
		r.report(n, "must name at least one address")
	}
	return values
}

func (r *reader) resources(n node, target *modeler.Resources) {
	r.object(n, []field{
		{"processors", true, func(n node) { target.Processors = modeler.Millicores(r.integer(n, 0, math.MaxInt64)) }},
		{"memory", true, func(n node) { target.Memory = modeler.Bytes(r.integer(n, 0, math.MaxInt64)) }},
		{"accelerators", false, func(n node) { target.Accelerators = modeler.Accelerators(r.integer(n, 0, math.MaxInt64)) }},
	})
}

func joinFieldNames(fields []field) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}

// typeName returns the JSON type of a value as it stands in findings.
func typeName(value hujson.Value) string {
	switch value.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a text"
	case '0':
		return "a number"
	case 't', 'f':
		return "true or false"
	default:
		return "null"
	}
}
