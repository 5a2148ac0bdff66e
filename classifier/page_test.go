package classifier_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/classifier"
)

var errorRow = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (\\d+) \\| ([a-z-]+) \\| (yes|no) \\| [^|]+ \\| [^|]+ \\|$")

// Guards against docs/errors.md listing other names, statuses, outcomes or
// retry advice than the table from which callers are answered.
func TestErrorsPage(t *testing.T) {
	text, err := os.ReadFile("../docs/errors.md")
	assert.NilError(t, err)
	var page, table []string
	for _, row := range errorRow.FindAllStringSubmatch(string(text), -1) {
		page = append(page, fmt.Sprint(row[1:]))
	}
	for _, kind := range classifier.Kinds() {
		a := kind.Answer()
		later := map[bool]string{true: "yes", false: "no"}[a.CallerMayRetry]
		if kind != classifier.None {
			table = append(table, fmt.Sprint([]string{a.Name, fmt.Sprint(a.Status), a.Outcome.String(), later}))
		}
	}
	assert.DeepEqual(t, page, table)
}
