package prover

import (
	"fmt"
	"strings"
)

const preface = `# Fault matrix

This page is generated from the tables of the package prover; its test fails when they differ. To write it anew:
` + "`go test ./prover -run TestPage -page`" + `.

The cells are proved by TestMatrix in the package prover. It joins the cores in memory: three members (replicator,
applier and a disk that loses unsynced writes) with the leader's allocator, supervisor and placer, three routers
with the steps of requests, and four workers that obey the assumptions A1 to A6. A fault strikes right after its
step, before anything that follows the step. P1 to P8 are checked after every event, and afterwards the system must
serve again: every caller has an answer, tickets keep their outcomes, and every task runs in one place.

A cell lists the cases that prove it; the case ` + "`F1-leader`" + ` at the step ` + "`arrived`" + ` is the test
` + "`TestMatrix/request/arrived/F1-leader`" + `. The suffix ` + "`-repeat`" + ` stands for a request that may be
repeated. TestPairs applies every pair of faults at a step drawn with a printed seed.

The shells are mirrored in the test and not part of it, so a break of their wiring is not noticed here: sockets, files and the HTTP dialer are proved by the tests of
linker, storer and dialer, and by the tests on real processes below.
`

// Page returns the text of docs/faults.md.
func Page() string {
	var b strings.Builder
	b.WriteString(preface)
	b.WriteString("\n## Faults\n\n| fault | what happens |\n|---|---|\n")
	for _, f := range Faults() {
		fmt.Fprintf(&b, "| %s | %s |\n", f, f.Title())
	}
	for _, p := range Paths() {
		writePath(&b, p)
	}
	writePromises(&b)
	return b.String()
}

// writePath writes the table of a path, with a row for each fault and a column for
// each step.
func writePath(b *strings.Builder, p Path) {
	fmt.Fprintf(b, "\n## Path %s\n\n| fault |", p)
	for _, s := range Steps(p) {
		fmt.Fprintf(b, " %s |", s)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(Steps(p))) + "\n")
	for _, f := range Faults() {
		fmt.Fprintf(b, "| %s |", f)
		for _, s := range Steps(p) {
			fmt.Fprintf(b, " %s |", CellAt(f, s))
		}
		b.WriteString("\n")
	}
}

// String returns the text of the cell on the page.
func (e MatrixCell) String() string {
	if len(e.Cases) == 0 {
		return e.Reason
	}
	names := make([]string, len(e.Cases))
	for i, c := range e.Cases {
		names[i] = c.Name()
	}
	return strings.Join(names, ", ")
}

func writePromises(b *strings.Builder) {
	b.WriteString("\n## Promises on real processes\n\nThe tests are in cmd/goldcreststack.\n\n| promise | | tests |\n|---|---|---|\n")
	for _, p := range Promises() {
		tests := strings.Join(p.Tests, ", ")
		if tests == "" {
			tests = "not proved: " + p.Reason
		}
		fmt.Fprintf(b, "| %s | %s | %s |\n", p.Name, p.Title, tests)
	}
}
