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
	w.mu.Lock()
	defer w.mu.Unlock()
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

// The kinds of temporary faults. The first ones disturb a control host.
const (
	killControl = iota
	killEntry
	stopControl
	stopEntry
	pauseControl
	pauseEntry
	delayLinks
	resetLinks
	silenceLinks
	cutLinks
	crashWorker
	delayOrders
	killAllOrTear
	faultKinds
)

// silenceLength is the time for which silent links count as cut: the processes
// find out by their own pings.
const silenceLength = 3 * time.Second

// injectFault injects one fault, chosen by the seeded random source.
func (w *world) injectFault() {
	hosts := w.controlHosts()
	slot := w.random.IntN(len(hosts))
	c := hosts[slot]
	e := w.entries[w.random.IntN(len(w.entries))]
	s := w.workers[w.random.IntN(len(w.workers))]
	span := time.Duration(300+w.random.IntN(3000)) * time.Millisecond
	kind := w.random.IntN(faultKinds)
	if w.settings.Mass && w.random.IntN(4) == 0 {
		w.failKind(span)
		return
	}
	switch kind {
	case killControl, stopControl, pauseControl, delayLinks, silenceLinks, cutLinks:
		if !w.mayDisturb(slot) {
			return
		}
	}
	switch kind {
	case killControl:
		w.logFault("kill %s", c.name)
		c.loseFor(restartAfter)
		c.signal(syscall.SIGKILL)
	case killEntry:
		w.logFault("kill %s", e.name)
		e.signal(syscall.SIGKILL)
	case stopControl:
		w.logFault("stop %s in order", c.name)
		c.loseFor(restartAfter)
		c.signal(syscall.SIGTERM)
	case stopEntry:
		w.logFault("stop %s in order", e.name)
		e.signal(syscall.SIGTERM)
	case pauseControl:
		w.logFault("pause %s for %v", c.name, span)
		c.loseFor(span)
		c.signal(syscall.SIGSTOP)
		w.afterDelay(span, func() { c.signal(syscall.SIGCONT) })
	case pauseEntry:
		w.logFault("pause %s for %v", e.name, span)
		e.signal(syscall.SIGSTOP)
		w.afterDelay(span, func() { e.signal(syscall.SIGCONT) })
	case delayLinks:
		w.logFault("delay links to %s by 40 ms for %v", c.name, span)
		c.loseFor(span)
		c.link.delay.Store(int64(40 * time.Millisecond))
		w.afterDelay(span, c.link.heal)
	case resetLinks:
		w.logFault("reset links to %s", c.name)
		c.link.resetAll()
	case silenceLinks:
		direction := w.random.IntN(2)
		w.logFault("silence links to %s in direction %d", c.name, direction)
		c.loseFor(silenceLength)
		c.link.silence(direction)
	case cutLinks:
		w.logFault("cut links to %s for %v", c.name, span)
		c.loseFor(span)
		c.link.silence(0, 1)
		w.afterDelay(span, c.link.heal)
	case crashWorker:
		w.logFault("crash worker %s for %v", s.id, span)
		s.crash(span)
	case delayOrders:
		w.logFault("half of the orders to %s come late for %v", s.id, span)
		s.setLateShare(0.5)
		w.afterDelay(span, func() { s.setLateShare(0) })
	case killAllOrTear:
		w.killAllOrTearLog(hosts)
	}
}

// killAllOrTearLog kills all control processes at once, or kills one of them and
// appends random bytes to its newest log file.
func (w *world) killAllOrTearLog(hosts []*process) {
	if w.random.IntN(2) == 0 {
		if w.settings.Replace && !w.allowsExcess() {
			return
		}
		w.logFault("kill all control processes")
		for _, p := range hosts {
			p.loseFor(restartAfter)
			p.kill(0, nil)
		}
		return
	}
	slot := w.random.IntN(len(hosts))
	junk := make([]byte, w.random.IntN(maxTorn))
	for i := range junk {
		junk[i] = byte(w.random.IntN(256))
	}
	if !w.mayDisturb(slot) {
		return
	}
	p := hosts[slot]
	w.logFault("kill %s and tear its newest log file", p.name)
	p.loseFor(restartAfter)
	p.kill(0, func() { w.tearLog(p, junk) })
}

// tearLog appends bytes to the newest log file of a process that doesn't run. After
// a crash, the file may hold arbitrary bytes behind the last sync.
func (w *world) tearLog(p *process, junk []byte) {
	files, err := filepath.Glob(filepath.Join(p.data, "log-*"))
	if err != nil || len(files) == 0 {
		return
	}
	f, err := os.OpenFile(files[len(files)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return
	}
	defer f.Close()
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
	for _, p := range w.processes() {
		p.signal(syscall.SIGCONT)
		if p.link != nil {
			p.link.heal()
		}
	}
	for _, s := range w.workers {
		s.setLateShare(0)
		s.setFailing(false)
	}
}
