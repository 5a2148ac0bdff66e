package loader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of a file.
type Finding struct {
	File string
	// Line is the line of the field's value, or of the opening brace of the
	// enclosing object if the field is missing. It is 0 if the file can't be
	// read.
	Line int
	// Field is the path of the field, such as entry.limits.body.
	Field  string
	Reason string
}

// String returns the finding as file:line: field: reason, which editors
// recognise as a location.
func (f Finding) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Reason)
}

// FormatFindings returns the findings as text with one finding per line.
func FormatFindings(findings []Finding) string {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Compare(a.Line, b.Line)
	})
}
