package prover_test

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/prover"
)

var write = flag.Bool("page", false, "write docs/faults.md")

// Guards against a docs/faults.md that lists other cases than the tests run, and
// against promises whose tests on real processes don't exist.
func TestPage(t *testing.T) {
	page := filepath.Join("..", "docs", "faults.md")
	if *write {
		assert.NilError(t, os.WriteFile(page, []byte(prover.Page()), 0o644))
	}
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, string(text) == prover.Page(), "docs/faults.md differs from the tables: run this test with -page")

	files, err := filepath.Glob(filepath.Join("..", "cmd", "goldcreststack", "*_test.go"))
	assert.NilError(t, err)
	var source []byte
	for _, name := range files {
		content, err := os.ReadFile(name)
		assert.NilError(t, err)
		source = append(source, content...)
	}
	for _, p := range prover.Promises() {
		assert.Assert(t, len(p.Tests) > 0 || p.Reason != "", p.Name)
		for _, name := range p.Tests {
			assert.Assert(t, regexp.MustCompile(`(?m)^func `+name+`\(`).Match(source), name)
		}
	}
}
