package main_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/platform/imitator"
)

// The bounds come from the platform's pages.
const (
	// catchUp is the time from the start of a host to the next loss.
	catchUp = 4 * time.Second
	// recovery bounds the time from a fault to the answers of the group.
	recovery = 12 * time.Second
	// replaceDelay is the time from the loss of a host to the start of its
	// successor.
	replaceDelay = time.Second
	// gracePeriod is the time from SIGTERM to the kill.
	gracePeriod = 6 * time.Second
	// seedCount is the number of seeds in a settings file.
	seedCount = 3
)

// host is a process of a hosted role.
type host struct {
	*process
	node imitator.Node
}

func (h *host) address() string { return imitator.PortAddress(h.node.IP, h.node.Port, 1) }

// leads reports whether the process says that it leads.
func (h *host) leads(client *http.Client) bool {
	_, body := call(client, http.MethodGet, net.JoinHostPort(h.node.IP, "9464"), "/metrics", "")
	return strings.Contains(body, fmt.Sprintf("goldcreststack_leads{role=\"control\",name=%q} 1\n", h.name))
}

// fleet is a cell of hosted processes: control hosts, some of which replace
// others, and an entry host. It records what the cell has acknowledged.
type fleet struct {
	t       *testing.T
	folder  string
	network string
	port    int
	client  *http.Client
	// tolerance is the number of control hosts that may be lost at the same time.
	tolerance int
	// controls are the control hosts that are not removed, the oldest first, and
	// started counts all hosts.
	controls []*host
	entry    *host
	started  int
	// configuration is the version of the newest acknowledged configuration, and
	// jobs are the accepted jobs.
	configuration uint64
	jobs          []string
}

// newFleet starts the hosts of a new cell. It returns when the cell accepts
// requests and the first loss is allowed.
func newFleet(t *testing.T, size, tolerance int) *fleet {
	t.Parallel()
	f := &fleet{t: t, folder: t.TempDir(), tolerance: tolerance, client: &http.Client{Timeout: time.Second}}
	f.network = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
	free, err := net.Listen("tcp", f.network+"1:0")
	assert.NilError(t, err)
	f.port = free.Addr().(*net.TCPAddr).Port
	assert.NilError(t, free.Close())
	t.Cleanup(f.logTails)
	for range size {
		f.controls = append(f.controls, f.newHost(false))
	}
	f.entry = f.newHost(true)
	began := time.Now()
	for _, h := range append(f.controls, f.entry) {
		h.node.Bootstrap = true
		f.start(h, f.controls[:min(seedCount, size)])
		h.node.Bootstrap = false
	}
	f.accept(startTimeout)
	time.Sleep(time.Until(began.Add(catchUp)))
	return f
}

// newHost returns a host with an address and a data folder of its own, which is
// not started.
func (f *fleet) newHost(entry bool) *host {
	f.started++
	name, role := fmt.Sprintf("control-%d", f.started), "control"
	if entry {
		name, role = "entry", "entry"
	}
	h := &host{process: &process{t: f.t, name: name, args: []string{"hosted", role}, log: filepath.Join(f.folder, name+".log")}}
	h.node = imitator.Node{
		Name: name, IP: f.network + fmt.Sprint(f.started), Entry: entry, Port: f.port,
		DataFolder: filepath.Join(f.folder, name), MaxLease: 6 * time.Second, MaxStopTime: 400 * time.Millisecond,
		LossTolerance: f.tolerance, CatchUp: catchUp,
	}
	h.env = []string{imitator.NodeVariable + "=" + filepath.Join(f.folder, name+".json")}
	f.t.Cleanup(func() {
		if h.cmd != nil {
			h.kill()
		}
	})
	return h
}

// start writes a settings file with the seeds and starts the process.
func (f *fleet) start(h *host, seeds []*host) {
	f.configure(h, seeds)
	h.process.start()
}

// configure writes a settings file with the seeds.
func (f *fleet) configure(h *host, seeds []*host) {
	h.node.Seeds = nil
	for _, seed := range seeds {
		h.node.Seeds = append(h.node.Seeds, seed.address())
	}
	data, err := h.node.Encode()
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(filepath.Join(f.folder, h.name+".json"), data, 0o600))
}

// leader returns the control host that leads.
func (f *fleet) leader() (leader *host) {
	f.t.Helper()
	f.await(recovery, "a control host leads", func() error {
		for _, h := range f.controls {
			if leader = h; h.leads(f.client) {
				return nil
			}
		}
		return errors.New("none does")
	})
	return leader
}

// seeds returns the leader, if it isn't removed, and the newest other control
// hosts.
func (f *fleet) seeds(leader *host) []*host {
	list := slices.Clone(f.controls)
	slices.Reverse(list)
	if at := slices.Index(list, leader); at >= 0 {
		list = slices.Insert(slices.Delete(list, at, at+1), 0, leader)
	}
	return list[:min(seedCount, len(list))]
}

// oldest returns the n oldest control hosts except one.
func (f *fleet) oldest(n int, except *host) []*host {
	others := slices.DeleteFunc(slices.Clone(f.controls), func(h *host) bool { return h == except })
	return others[:n]
}

// add starts n new control hosts that know the leader and has the cell accept
// more.
func (f *fleet) add(n int, leader *host) {
	f.t.Helper()
	for range n {
		f.launch(leader)
	}
	f.accept(recovery)
}

// launch starts a new control host that knows the leader.
func (f *fleet) launch(leader *host) {
	h := f.newHost(false)
	f.start(h, f.seeds(leader))
	f.controls = append(f.controls, h)
}

// replaceLost kills hosts for good and adds as many after replaceDelay. It
// returns when the next loss is allowed.
func (f *fleet) replaceLost(lost []*host, leader *host) {
	f.t.Helper()
	for _, h := range lost {
		h.kill()
		f.remove(h)
	}
	time.Sleep(replaceDelay)
	began := time.Now()
	f.add(len(lost), leader)
	time.Sleep(time.Until(began.Add(catchUp)))
}

// replacePlanned adds a host and stops an old one with SIGTERM after
// replaceDelay. It returns when the next loss is allowed.
func (f *fleet) replacePlanned(old, leader *host) {
	f.t.Helper()
	began := time.Now()
	f.add(1, leader)
	time.Sleep(time.Until(began.Add(replaceDelay)))
	f.stopInOrder(old)
	time.Sleep(time.Until(began.Add(catchUp)))
}

// stopInOrder stops a host with SIGTERM for good.
func (f *fleet) stopInOrder(h *host) {
	f.t.Helper()
	h.signal(syscall.SIGTERM)
	assert.NilError(f.t, h.wait(gracePeriod))
	f.remove(h)
}

func (f *fleet) remove(h *host) {
	f.controls = slices.DeleteFunc(slices.Clone(f.controls), func(other *host) bool { return other == h })
}

// checkLostDisks empties the data folders of hosts while all control processes are
// killed, starts them again at once, and checks what the cell has acknowledged.
func (f *fleet) checkLostDisks(lost []*host, leader *host) {
	f.t.Helper()
	f.accept(recovery)
	for _, h := range f.controls {
		h.kill()
	}
	for _, h := range lost {
		assert.NilError(f.t, os.RemoveAll(h.node.DataFolder))
	}
	known := f.seeds(leader)
	for _, h := range f.controls {
		f.start(h, known)
	}
	f.checkAcknowledged()
}

// accept has the cell accept the next configuration and one more job.
func (f *fleet) accept(within time.Duration) {
	f.t.Helper()
	f.configuration++
	layout := imitator.Layout(f.configuration, "q.example", "/jobs/")
	f.await(within, "a configuration is acknowledged", func() error {
		return f.expect(f.controls[rand.IntN(len(f.controls))], http.MethodPut, imitator.LayoutPath, layout, "")
	})
	job := fmt.Sprintf("%016x", rand.Uint64())
	f.await(within, "a job is accepted", func() error {
		return f.expect(f.entry, http.MethodPost, "/jobs/"+job, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimated_ms":400}]}`, "")
	})
	f.jobs = append(f.jobs, job)
}

// checkAcknowledged checks that within recovery each control host answers with
// the newest acknowledged configuration and the entry host about each accepted
// job, and that the cell accepts more.
func (f *fleet) checkAcknowledged() {
	f.t.Helper()
	end := time.Now().Add(recovery)
	for _, h := range f.controls {
		f.await(time.Until(end), "the acknowledged configuration is answered", func() error {
			return f.expect(h, http.MethodGet, imitator.LayoutPath, "", fmt.Sprintf(`"version":%d,`, f.configuration))
		})
	}
	for _, job := range f.jobs {
		f.await(time.Until(end), "an accepted job is answered", func() error {
			return f.expect(f.entry, http.MethodGet, "/jobs/"+job, "", `"state"`)
		})
	}
	f.accept(time.Until(end))
}

// expect returns an error unless the call gets status 200 and an answer with the
// text.
func (f *fleet) expect(h *host, method, path, body, text string) error {
	status, answer := call(f.client, method, h.address(), path, body)
	if status != http.StatusOK || !strings.Contains(answer, text) {
		return fmt.Errorf("%s answers %d %s", h.name, status, answer)
	}
	return nil
}

// call makes a call and returns the status and the answer, or 0 and the error.
func call(client *http.Client, method, address, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "q.example"
	answer, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(data)
}

// await repeats a check until it returns nil; it fails the test after the timeout.
func (f *fleet) await(within time.Duration, what string, check func() error) {
	f.t.Helper()
	s := system{t: f.t}
	s.await(within, what, check)
}

// logTails logs the last lines of the control hosts if the test has failed, except
// those about refused requests.
func (f *fleet) logTails() {
	if !f.t.Failed() {
		return
	}
	for n := range f.started {
		name := fmt.Sprintf("control-%d", n+1)
		text, _ := os.ReadFile(filepath.Join(f.folder, name+".log"))
		lines := slices.DeleteFunc(strings.Split(string(text), "\n"), func(line string) bool { return strings.Contains(line, "no-leader") })
		f.t.Logf("%s:\n%s", name, tail(strings.Join(lines, "\n"), 12))
	}
}

// Guards against departed voters that count for good, so that further losses leave no quorum.
func TestReplacedHostsOfFiveStopCounting(t *testing.T) {
	f := newFleet(t, 5, 1)
	for range 4 {
		leader := f.leader()
		f.replaceLost(f.oldest(1, leader), leader)
	}
	leader := f.leader()
	f.checkLostDisks(f.oldest(1, leader), leader)
}

// Guards against departed voters that leave the smallest group without a quorum.
func TestReplacedHostsOfThreeStopCounting(t *testing.T) {
	f := newFleet(t, 3, 1)
	for range 4 {
		leader := f.leader()
		f.replaceLost(f.oldest(1, leader), leader)
	}
	leader := f.leader()
	f.checkLostDisks(f.oldest(1, leader), leader)
}

// Guards against departed voters that count for good when two hosts are lost at once.
func TestReplacedPairsOfNineStopCounting(t *testing.T) {
	f := newFleet(t, 9, 2)
	for range 4 {
		leader := f.leader()
		f.replaceLost(f.oldest(2, leader), leader)
	}
	leader := f.leader()
	f.checkLostDisks(f.oldest(2, leader), leader)
}

// Guards against a leader that counts for good after it has departed, and against successors that can't join the next one.
func TestReplacedLeadersStopCounting(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, size, 1)
			for range 4 {
				leader := f.leader()
				f.replaceLost([]*host{leader}, leader)
			}
			leader := f.leader()
			f.checkLostDisks([]*host{leader}, leader)
		})
	}
}

// Guards against hosts that count for good although they were stopped in order after their successors had come.
func TestPlannedReplacementsStopCounting(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, size, 1)
			for range 4 {
				leader := f.leader()
				f.replacePlanned(f.oldest(1, leader)[0], leader)
			}
			leader := f.leader()
			f.checkLostDisks(f.oldest(1, leader), leader)
		})
	}
}

// Guards against a host that was replaced in order and still counts when the next one is lost.
func TestNextLossAfterPlannedReplacement(t *testing.T) {
	f := newFleet(t, 3, 1)
	for _, leads := range []bool{false, true} {
		leader := f.leader()
		stopped := f.oldest(1, leader)[0]
		if leads {
			stopped = leader
		}
		began := time.Now()
		f.add(1, leader)
		time.Sleep(time.Until(began.Add(catchUp)))
		f.stopInOrder(stopped)
		leader = f.leader()
		f.replaceLost(f.oldest(1, leader), leader)
	}
	f.checkAcknowledged()
}

// Guards against a group with fewer voters than the tolerated losses in the settings require.
func TestVotersFollowToleratedLosses(t *testing.T) {
	f := newFleet(t, 9, 2)
	f.awaitVoters(recovery, f.controls...)
}

// Guards against a voter that loses its vote to a learner while it is frozen, and takes itself for a member for good.
func TestFrozenVoterVotesAgain(t *testing.T) {
	f := newFleet(t, 3, 1)
	leader := f.leader()
	frozen := f.oldest(1, leader)[0]
	f.add(1, leader)
	time.Sleep(catchUp)
	frozen.suspend()
	time.Sleep(catchUp)
	frozen.signal(syscall.SIGCONT)
	time.Sleep(catchUp)
	for range 2 {
		for _, h := range f.controls {
			if h != frozen && h != f.leader() {
				h.kill()
				f.remove(h)
				break
			}
		}
		time.Sleep(catchUp)
	}
	f.accept(recovery)
}
