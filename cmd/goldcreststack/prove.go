package main

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/spf13/cobra"

	"goldcreststack.example/goldcreststack/prover"
)

func newProve() *cobra.Command {
	seed, rounds := uint64(1), 1
	cmd := &cobra.Command{
		Use:   "prove",
		Short: "Run the fault matrix in memory with seeds of your choice",
		Long: "Joins the cores in memory, strikes with every fault after every step and with pairs of faults, and checks\n" +
			"the promises after every event. The tests run one round; this command runs as many as you like.",
		Example: "  goldcreststack prove --seed 1000 --rounds 10",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			failed := 0
			for round := range uint64(rounds) {
				failed += proveRound(cmd, seed+round)
			}
			if failed > 0 {
				return fmt.Errorf("%d cases broke a promise", failed)
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", seed, "seed of the first round")
	cmd.Flags().IntVar(&rounds, "rounds", rounds, "number of rounds, each with the next seed")
	return cmd
}

// proveRound runs every case of every step and fault, and every pair of faults,
// once. It prints the failures and returns their number.
func proveRound(cmd *cobra.Command, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 3))
	var errs []error
	cases := 0
	check := func(name string, err error) {
		cases++
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
	}
	for _, path := range prover.Paths() {
		for _, step := range prover.Steps(path) {
			for _, fault := range prover.Faults() {
				for _, c := range prover.CellAt(fault, step).Cases {
					check(fmt.Sprintf("%s/%s/%s", path, step, c.Name()), prover.RunCase(c, rng.Uint64()))
				}
			}
		}
	}
	for i, first := range prover.Faults() {
		for _, second := range prover.Faults()[i:] {
			pair := prover.Pair(first, second, rng.IntN)
			check(fmt.Sprintf("%s-%s", first, second), prover.RunPair(pair[0], pair[1], rng.Uint64()))
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d cases, %d failed\n", seed, cases, len(errs))
	if err := errors.Join(errs...); err != nil {
		fmt.Fprintln(cmd.ErrOrStderr(), err)
	}
	return len(errs)
}
