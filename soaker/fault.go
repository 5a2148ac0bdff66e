package soaker

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// injectFaults injects faults one after the other for the given time; the lasting
// ones overlap.
func (w *world) injectFaults(length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) && w.ctx.Err() == nil {
		w.injectFault()
		w.sleep(time.Duration(200+w.random.IntN(1800)) * time.Millisecond)
	}
}

func (w *world) logFault(format string, args ...any) {
	w.faults = append(w.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// afterDelay runs do after the delay, unless the run has ended by then. It is used to
// end a fault that lasts.
func (w *world) afterDelay(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		if w.ctx.Err() == nil {
			do()
		}
	})
}

// injectFault injects one fault, chosen by the seeded random source.
func (w *world) injectFault() {
	c := w.control[w.random.IntN(len(w.control))]
	e := w.entries[w.random.IntN(len(w.entries))]
	s := w.workers[w.random.IntN(len(w.workers))]
	span := time.Duration(300+w.random.IntN(3000)) * time.Millisecond
	switch w.random.IntN(13) {
	case 0:
		w.logFault("kill %s", c.name)
		c.signal(syscall.SIGKILL)
	case 1:
		w.logFault("kill %s", e.name)
		e.signal(syscall.SIGKILL)
	case 2:
		w.logFault("stop %s in order", c.name)
		c.signal(syscall.SIGTERM)
	case 3:
		w.logFault("stop %s in order", e.name)
		e.signal(syscall.SIGTERM)
	case 4:
		w.logFault("pause %s for %v", c.name, span)
		c.signal(syscall.SIGSTOP)
		w.afterDelay(span, func() { c.signal(syscall.SIGCONT) })
	case 5:
		w.logFault("pause %s for %v", e.name, span)
		e.signal(syscall.SIGSTOP)
		w.afterDelay(span, func() { e.signal(syscall.SIGCONT) })
	case 6:
		w.logFault("delay links to %s by 40 ms for %v", c.name, span)
		c.link.delay.Store(int64(40 * time.Millisecond))
		w.afterDelay(span, c.link.heal)
	case 7:
		w.logFault("reset links to %s", c.name)
		c.link.resetAll()
	case 8:
		direction := w.random.IntN(2)
		w.logFault("silence links to %s in direction %d", c.name, direction)
		c.link.silence(direction)
	case 9:
		w.logFault("cut links to %s for %v", c.name, span)
		c.link.silence(0, 1)
		w.afterDelay(span, c.link.heal)
	case 10:
		w.logFault("crash worker %s for %v", s.id, span)
		s.crash(span)
	case 11:
		w.logFault("half of the orders to %s come late for %v", s.id, span)
		s.setLateShare(0.5)
		w.afterDelay(span, func() { s.setLateShare(0) })
	case 12:
		w.killAllOrCorruptLog()
	}
}

// killAllOrCorruptLog kills all control processes at once, or kills one of them and
// appends random bytes to its newest log file.
func (w *world) killAllOrCorruptLog() {
	if w.random.IntN(2) == 0 {
		w.logFault("kill all control processes")
		for _, p := range w.control {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
		return
	}
	p := w.control[w.random.IntN(len(w.control))]
	w.logFault("kill %s and tear its newest log file", p.name)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	files, err := filepath.Glob(filepath.Join(p.data, "log-*"))
	if err != nil || len(files) == 0 {
		return
	}
	// After a crash, the file may hold arbitrary bytes behind the last sync.
	f, err := os.OpenFile(files[len(files)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return
	}
	defer f.Close()
	junk := make([]byte, w.random.IntN(64))
	for i := range junk {
		junk[i] = byte(w.random.IntN(256))
	}
	if _, err := f.Write(junk); err != nil {
		w.check.recordViolation("the soak can't tear a file: %v", err)
	}
}

func (s *worker) setLateShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare = share
}

// healAll ends every lasting fault except worker crashes, which end by themselves.
func (w *world) healAll() {
	for _, p := range append(w.control, w.entries...) {
		p.signal(syscall.SIGCONT)
		if p.link != nil {
			p.link.heal()
		}
	}
	for _, s := range w.workers {
		s.setLateShare(0)
	}
}
