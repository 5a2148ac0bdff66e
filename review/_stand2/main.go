// Command stand plays the cases of the second review. Each case starts the programs of
// this project as separate processes, with stand-ins for callers, workers and the
// platform.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

var cases = map[string]func(*world) error{
	"late-start":    lateStart,
	"crash-in-stop": crashInStop,
	"budget":        budget,
	"backfill":      backfill,
	"queue-count":   queueCount,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case: 0 means that the rule held, 1 that it was broken, and 2 that
// the case could not run.
func play(run func(*world) error, folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	result := make(chan error, 1)
	go func() { result <- run(w) }()
	select {
	case err = <-result:
	case <-time.After(maxDuration):
		err = fmt.Errorf("the case takes longer than %v", maxDuration)
	}
	code := 0
	w.mu.Lock()
	broken := len(w.broken)
	w.mu.Unlock()
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = 2
	case broken > 0:
		fmt.Println("broken:", w.broken[0])
		code = 1
	default:
		fmt.Println("the rule held")
	}
	w.logf("result %d", code)
	w.stop()
	return code
}

// step returns a step of a job.
func step(count, cpu, memory, estimate int, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem_mb": memory, "estimated_ms": estimate}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// waitFor waits until the condition holds, and reports whether it did in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
