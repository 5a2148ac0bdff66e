package prover_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/prover"
)

var (
	pairSeed = flag.Uint64("pairs", 1, "seed for the cases of TestPairs")
	shift    = flag.Uint64("shift", 0, "number added to the seeds of the cases of TestMatrix")
)

// The cases allocate much and keep little, so a higher GC percentage saves time.
func init() { debug.SetGCPercent(400) }

// Guards against a promise that breaks when a fault occurs directly after any step
// of a request, a ticket, a task or a change of members.
func TestMatrix(t *testing.T) {
	for _, path := range prover.Paths() {
		t.Run(path.String(), func(t *testing.T) {
			t.Parallel()
			for i, s := range prover.Steps(path) {
				t.Run(s.String(), func(t *testing.T) {
					t.Parallel()
					for _, f := range prover.Faults() {
						for k, c := range prover.CellAt(f, s).Cases {
							t.Run(c.Name(), func(t *testing.T) {
								seed := *shift + uint64(1000*i+10*int(f)+k)
								assert.NilError(t, prover.RunCase(c, seed))
							})
						}
					}
				})
			}
		})
	}
}

// Guards against promises that hold under each fault alone but break under two
// faults.
func TestPairs(t *testing.T) {
	seed := *pairSeed
	t.Logf("seed %d (repeat with -pairs=%d)", seed, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	for _, f := range prover.Faults() {
		for _, g := range prover.Faults() {
			if f > g {
				continue
			}
			list, own := prover.Pair(f, g, rng.IntN), rng.Uint64()
			t.Run(fmt.Sprintf("%s-%s", f, g), func(t *testing.T) {
				t.Parallel()
				t.Logf("%s after %s, %s", list[0].Name(), list[0].Step, list[1].Name())
				assert.NilError(t, prover.RunPair(list[0], list[1], own))
			})
		}
	}
}
