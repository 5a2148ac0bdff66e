package main_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	histories   = flag.Int("histories", 0, "number of random histories of control hosts to play")
	historySeed = flag.Uint64("history", 0, "play only the history of this seed")
)

// historySteps is the number of faults in a history.
const historySteps = 8

// Guards against orders of losses, returns and replacements of hosts that leave the group without a quorum.
func TestRandomReplacements(t *testing.T) {
	var seeds []uint64
	if *historySeed != 0 {
		seeds = append(seeds, *historySeed)
	}
	for range *histories {
		seeds = append(seeds, rand.Uint64N(1<<32))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playHistory(t, seed) })
	}
}

// playHistory plays faults within the tolerance one after the other, each as early
// as the users allow, and ends with lost disks.
func playHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	size := []int{3, 4, 5, 6, 7, 9}[random.IntN(6)]
	tolerance := 1 + size/9
	f := newFleet(t, size, tolerance)
	for range historySteps {
		leader := f.leader()
		chosen := random.Perm(len(f.controls))[:1+random.IntN(tolerance)]
		var hosts []*host
		for _, i := range chosen {
			hosts = append(hosts, f.controls[i])
		}
		if random.IntN(3) == 0 {
			hosts[0] = leader
			hosts = hosts[:1]
		}
		pause := time.Duration(random.IntN(5000)) * time.Millisecond
		kind := random.IntN(14)
		t.Logf("%s: kind %d of %d hosts from %s, leader %s, pause %s", time.Now().Format("15:04:05.000"), kind, len(hosts), hosts[0].name, leader.name, pause)
		switch kind {
		case 0, 1:
			f.replaceLost(hosts, leader)
		case 2:
			f.replacePlanned(hosts[0], leader)
		case 3:
			f.returnAfter(hosts, pause, func(h *host) { h.kill() }, func(h *host) { h.process.start() })
		case 4:
			f.returnAfter(hosts, pause, func(h *host) { h.suspend() }, func(h *host) { h.signal(syscall.SIGCONT) })
		case 5:
			f.returnAfter(hosts, replaceDelay, func(h *host) {
				h.kill()
				assert.NilError(t, os.RemoveAll(h.node.DataFolder))
			}, func(h *host) { f.start(h, f.seeds(leader)) })
		case 6:
			f.returnAfter(f.controls, 0, func(h *host) { h.kill() }, func(h *host) { f.start(h, f.seeds(nil)) })
		case 7:
			f.returnAfter(hosts, 0, func(h *host) {
				h.signal(syscall.SIGTERM)
				assert.NilError(t, h.wait(gracePeriod))
			}, func(h *host) { h.process.start() })
		case 8:
			// More hosts than tolerated are away, but only the replaced ones without
			// their disks.
			for _, h := range hosts {
				h.kill()
				f.remove(h)
			}
			others := f.controls[:random.IntN(len(f.controls)+1)]
			f.returnAfter(others, pause, func(h *host) { h.suspend() }, func(h *host) { h.signal(syscall.SIGCONT) }, hosts...)
		case 9:
			for _, h := range f.controls {
				f.configure(h, f.seeds(nil))
				h.signal(syscall.SIGHUP)
			}
			f.returnAfter(f.controls, 0, func(h *host) { h.kill() }, func(h *host) { h.process.start() })
		case 10:
			// The successors are lost, too, while they join.
			for _, h := range hosts {
				h.kill()
				f.remove(h)
			}
			for range hosts {
				f.launch(leader)
			}
			time.Sleep(pause / 5)
			f.replaceLost(f.controls[len(f.controls)-len(hosts):], leader)
		case 11:
			// The successor is killed while it joins, and comes back with its disk.
			hosts[0].kill()
			f.remove(hosts[0])
			f.launch(leader)
			time.Sleep(pause / 50)
			f.returnAfter(f.controls[len(f.controls)-1:], 0, func(h *host) { h.kill() }, func(h *host) { h.process.start() })
		case 12:
			// The predecessor stops when the successor has long been there.
			began := time.Now()
			f.add(1, leader)
			time.Sleep(time.Until(began.Add(catchUp)) + pause/5)
			f.stopInOrder(hosts[0])
		case 13:
			for _, h := range f.controls {
				h.signal(syscall.SIGTERM)
			}
			f.returnAfter(f.controls, 0, func(h *host) { assert.NilError(t, h.wait(gracePeriod)) }, func(h *host) { h.process.start() })
		}
	}
	leader := f.leader()
	f.checkLostDisks(f.oldest(tolerance, leader), leader)
}

// returnAfter takes hosts away, replaces the lost ones, and brings the others back
// after the pause. It returns when the next loss is allowed.
func (f *fleet) returnAfter(hosts []*host, pause time.Duration, leave, back func(*host), lost ...*host) {
	f.t.Helper()
	for _, h := range hosts {
		leave(h)
	}
	for range lost {
		f.launch(nil)
	}
	time.Sleep(pause)
	began := time.Now()
	for _, h := range hosts {
		back(h)
	}
	f.accept(recovery)
	time.Sleep(time.Until(began.Add(catchUp)))
}
