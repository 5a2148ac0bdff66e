// Command stand plays the review's script cases: it starts the project's programs
// as separate processes and stands in for clients, workers, the operator and the
// platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// maxRun bounds a case; the issue allows 120 s.
const maxRun = 115 * time.Second

var cases = map[string]func(*run){
	"foreign-heartbeat": foreignHeartbeat,
	"many-ends":         manyEnds,
	"lost-copy":         lostCopy,
	"wide-job":          wideJob,
	"grey-service":      greyService,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitCannot)
	}
	r, err := newRun(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	time.AfterFunc(maxRun, func() { r.cannot("the case took longer than %s", maxRun) })
	cases[os.Args[1]](r)
	r.finish()
}
