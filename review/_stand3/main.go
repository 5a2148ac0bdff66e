// Command _stand3 plays the cases of this folder: it starts the project's processes as a
// platform does and stands in for workers, operators and clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broke  = 1
	cannot = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		os.Exit(cannot)
	}
	play := map[string]func(*world) error{"ends": playEnds, "count": playCount, "writer": playWriter, "lasting": playLasting}[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(cannot)
	}
	w, err := newWorld(os.Args[2], os.Args[3], 112*time.Second)
	if err == nil {
		err = play(w)
	}
	code := held
	switch {
	case err != nil:
		code = cannot
		fmt.Println("the case could not run:", err)
	case len(w.broken) > 0:
		code = broke
		for _, line := range w.broken {
			fmt.Println("broken:", line)
		}
	default:
		fmt.Println("held")
	}
	if w != nil {
		w.close()
	}
	os.Exit(code)
}
