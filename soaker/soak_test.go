package soaker_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/soaker"
)

var (
	seeds   = flag.Int("seeds", 0, "number of random seeds to run besides the kept ones")
	seed    = flag.Uint64("seed", 0, "run only this seed")
	length  = flag.Duration("length", 12*time.Second, "time during which faults are injected")
	control = flag.Int("control", 3, "number of control processes")
	entries = flag.Int("entries", 2, "number of entry processes")
	folder  = flag.String("folder", "", "folder for settings, data and logs")
	workers = flag.Int("workers", 6, "number of stand-in workers")
)

// keptSeeds are the seeds that CI runs: two that cover most kinds of faults, and
// each seed that ever failed, with its cause.
var keptSeeds = []uint64{
	1, 2,
	// The stand-in worker crashed again before the restart of its first crash
	// was due; that restart then began a new generation while tasks ran.
	1235483723,
	// A new generation of a worker carried out a start that was sent to the
	// previous one. The task was then taken for lost with the previous generation
	// and was started again elsewhere.
	3966650880,
}

// knownRedSeeds are the seeds that fail for a cause that isn't fixed yet
// (KNOWN-RED.txt).
var knownRedSeeds = []uint64{
	// A start gets no answer and is sent again; the task is done and its end is
	// acknowledged. The worker crashes and restarts, and its new generation carries
	// out the first start before it has announced itself.
	262152143,
}

// testFolder returns a separate folder for the test.
func testFolder(t *testing.T) string {
	if *folder == "" {
		return t.TempDir()
	}
	path := filepath.Join(*folder, t.Name())
	assert.NilError(t, os.MkdirAll(path, 0o755))
	return path
}

// buildBinary builds the program under test and returns its path.
func buildBinary(t *testing.T) string {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := filepath.Join(t.TempDir(), "goldcreststack")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/goldcreststack").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}

// runSeed runs the soak with one seed and fails the test for each broken promise.
func runSeed(t *testing.T, binary string, s uint64) {
	report, err := soaker.Run(t.Context(), soaker.Settings{
		Seed: s, Length: *length, Binary: binary, Folder: testFolder(t),
		Control: *control, Entries: *entries, Workers: *workers,
	})
	assert.NilError(t, err)
	t.Logf("seed %d: %d jobs, %d starts, %d faults", s, report.Jobs, report.Starts, len(report.Faults))
	assert.Check(t, report.Starts > 0, "no task was started")
	if len(report.Violations) > 0 {
		for _, line := range report.Faults {
			t.Log(line)
		}
	}
	for _, line := range report.Violations {
		t.Error(line)
	}
}

// Guards against broken promises to callers and workers while processes are
// killed, paused and restarted, links are cut, and workers misbehave.
func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	chosen := keptSeeds
	if *seed != 0 {
		chosen = []uint64{*seed}
	}
	for range *seeds {
		chosen = append(chosen, rand.Uint64N(1<<32))
	}
	for _, s := range chosen {
		t.Run(fmt.Sprint(s), func(t *testing.T) { runSeed(t, binary, s) })
	}
}

// Runs the seeds that are known to fail.
func TestSoakRed(t *testing.T) {
	binary := buildBinary(t)
	for _, s := range knownRedSeeds {
		t.Run(fmt.Sprint(s), func(t *testing.T) { runSeed(t, binary, s) })
	}
}

// Guards against soaks that use each other's addresses: some ports of the
// processes are fixed, so a process can't listen while another soak runs a process
// with the same address.
func TestSoaksSideBySide(t *testing.T) {
	binary := buildBinary(t)
	var runs sync.WaitGroup
	for i := range 2 {
		runs.Go(func() {
			report, err := soaker.Run(t.Context(), soaker.Settings{
				Seed: uint64(i), Binary: binary, Folder: t.TempDir(), Control: 1, Entries: 1, Workers: 2,
			})
			assert.Check(t, err)
			assert.Check(t, report.Starts > 0, "no task was started")
			for _, line := range report.Violations {
				t.Error(line)
			}
		})
	}
	runs.Wait()
}
