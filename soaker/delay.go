package soaker

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// delayCheckInterval is the time between two checks of the machine's delays.
	delayCheckInterval = 200 * time.Millisecond
	// longestDelay is the longest wait for a processor, or for a sync of the disk, that
	// doesn't count as a loss of the host. Members hold elections after longer ones.
	longestDelay = 400 * time.Millisecond
	// maxBusyTime bounds the wait for a machine that goes on delaying processes.
	maxBusyTime = 30 * time.Second
)

// watchDelays counts control hosts as lost whose processes wait long for a processor,
// and all of them if the soak itself does, since it carries their links, until ctx
// ends. The users count slowed hosts as lost, until they have had the time to catch up.
func (w *world) watchDelays(ctx context.Context) {
	waits := make(map[string]time.Duration)
	for ; ctx.Err() == nil; w.sleep(delayCheckInterval) {
		begun := time.Now()
		hosts := w.controlHosts()
		for _, p := range hosts {
			if delay := longestWait(p.pid(), waits); delay > longestDelay {
				w.noteDelay(p.name, delay, p)
			}
		}
		if delay := longestWait(os.Getpid(), waits); delay > longestDelay {
			w.noteDelay("the soak", delay, hosts...)
		}
		w.checkedAt.Store(begun.UnixNano())
	}
}

// watchDisk counts all control hosts as lost while a sync of the disk that they share
// takes long, until ctx ends.
func (w *world) watchDisk(ctx context.Context) {
	file, err := os.Create(filepath.Join(w.settings.Folder, "probe"))
	if err != nil {
		w.check.recordViolation("the soak can't probe the disk: %v", err)
		return
	}
	defer file.Close()
	for ; ctx.Err() == nil; w.sleep(delayCheckInterval) {
		begun, synced := time.Now(), make(chan error, 1)
		go func() {
			_, err := file.WriteAt([]byte(begun.String()), 0)
			synced <- errors.Join(err, file.Sync())
		}()
		w.awaitSync(begun, synced)
	}
}

// awaitSync waits for a sync that began at the given time.
func (w *world) awaitSync(begun time.Time, synced <-chan error) {
	for {
		select {
		case err := <-synced:
			if err != nil {
				w.check.recordViolation("the soak can't probe the disk: %v", err)
			}
			return
		case <-time.After(longestDelay):
			w.noteDelay("all syncs", time.Since(begun), w.controlHosts()...)
		}
	}
}

// noteDelay counts the processes as lost until they have had the time to catch up.
func (w *world) noteDelay(name string, delay time.Duration, lost ...*process) {
	w.logFault("the machine delays %s by %v", name, delay.Round(time.Millisecond))
	w.delayedAt.Store(time.Now().UnixNano())
	for _, p := range lost {
		p.loseFor(0)
	}
}

// pid returns the id of the operating system process, or 0 if it doesn't run.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running {
		return 0
	}
	return p.command.Process.Pid
}

// longestWait returns the longest time for which a thread of the process has waited
// for a processor since the last call, whose sums are in waits.
func longestWait(pid int, waits map[string]time.Duration) time.Duration {
	var longest time.Duration
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			// The thread has ended.
			continue
		}
		var run, wait time.Duration
		if _, err := fmt.Sscan(string(data), &run, &wait); err != nil {
			continue
		}
		if last, known := waits[file]; known {
			longest = max(longest, wait-last)
		}
		waits[file] = wait
	}
	return longest
}

// isOver reports whether a time limit of the users has passed. The limit begins anew
// when the machine delays a process, for maxBusyTime at most. A delay is found by the
// check that begins after it.
func (w *world) isOver(begun time.Time, limit time.Duration) bool {
	delayed, checked := time.Unix(0, w.delayedAt.Load()), time.Unix(0, w.checkedAt.Load())
	return checked.After(later(begun, delayed).Add(limit)) || time.Since(begun) > limit+maxBusyTime
}
