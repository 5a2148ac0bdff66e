package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// run is one play of a case.
type run struct {
	trouble bool
	folder  string
	began   time.Time
	// network is the first three numbers of the addresses; each process and each
	// worker has a loopback address of its own.
	network string
	hosts   int
	port    int
	cell    *cell
	ledger  *ledger

	mu     sync.Mutex
	record *os.File
	broken []string
	ended  bool
}

func newRun(recordPath string, trouble bool) (*run, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, folder: folder, began: time.Now(), record: record}
	r.network = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
	free, err := net.Listen("tcp", r.network+"1:0")
	if err != nil {
		return nil, err
	}
	// The processes use up to 20 ports from this one on, each on its own address.
	r.port = min(free.Addr().(*net.TCPAddr).Port, 65000)
	_ = free.Close()
	r.ledger = &ledger{run: r, tasks: make(map[string]*taskRecord)}
	r.note("trouble %v", trouble)
	return r, nil
}

// nextIP returns an unused loopback address.
func (r *run) nextIP() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts++
	return r.network + fmt.Sprint(1+r.hosts)
}

// note writes one line to the record, with the time since the start of the case.
func (r *run) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// violate records that the rule was broken.
func (r *run) violate(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// require ends the case if it can't run.
func (r *run) require(err error, what string) {
	if err != nil {
		r.cannot("%s: %v", what, err)
	}
}

func (r *run) cannot(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.note("CAN'T RUN %s", text)
	fmt.Println("can't run:", text)
	r.end(exitCannot)
}

func (r *run) finish() {
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	if len(broken) == 0 {
		r.note("HELD")
		fmt.Println("held")
		r.end(exitHeld)
	}
	r.note("BROKEN %d times", len(broken))
	fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
	r.end(exitBroken)
}

// end stops all processes and exits.
func (r *run) end(code int) {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		select {}
	}
	r.ended = true
	r.mu.Unlock()
	if r.cell != nil {
		r.cell.stop()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(r.folder, filepath.Clean(keep))
	} else {
		_ = os.RemoveAll(r.folder)
	}
	os.Exit(code)
}
