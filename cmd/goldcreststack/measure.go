package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"goldcreststack.example/goldcreststack/evaluator"
	"goldcreststack.example/goldcreststack/modeler"
)

// measurement is a result of the evaluator that can be printed as text.
type measurement interface{ Text() string }

func newMeasure() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "measure",
		Short: "Measure placement, waiting, the log and its files on this machine",
		Long: "Measure runs the project's own measurements in this process. Nothing is sent over the network.\n\n" +
			"Random inputs come from a fixed seed that is printed, and --seed sets another. Times depend on the machine\n" +
			"and on GOMAXPROCS; the figures of day, pool, interference, waiting and shares don't.",
		Example: "  goldcreststack measure day\n" +
			"  GOMAXPROCS=1 goldcreststack measure placement --workers 48,500 --json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(
		newMeasurePlacement(),
		newMeasureDay(),
		newMeasurePool(),
		newMeasureInterference(),
		newMeasureWaiting(),
		newMeasureShares(),
		newMeasureLog(),
		newMeasureStorage(),
	)
	return cmd
}

// measureCommand completes a command that calls run and prints its result.
func measureCommand(cmd *cobra.Command, run func() (measurement, error)) *cobra.Command {
	asJSON := false
	cmd.Args = cobra.NoArgs
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		result, err := run()
		if err != nil {
			return fmt.Errorf("measure %s: %w", cmd.Name(), err)
		}
		return printResult(cmd.OutOrStdout(), asJSON, result, result.Text())
	}
	return cmd
}

func newMeasurePool() *cobra.Command {
	file, seeds := "samples/pool.json", 20
	cmd := &cobra.Command{
		Use:   "pool",
		Short: "Run random days of one pool with and without each scheduling decision",
		Long: "Pool reads the workers and the load of a pool from a file and runs the same random days with the leader's\n" +
			"decisions and without each of them. It prints the share of the worth that callers get, by queue and over the\n" +
			"day, the time until the first task and the permit requests of a flow, and a bound that no policy can exceed.",
		Example: "  goldcreststack measure pool\n  goldcreststack measure pool --file pool.json --seeds 5 --json\n" +
			"  goldcreststack measure pool --without headroom --decision 5ms --perworker 50us",
	}
	var without []string
	var decision, worker time.Duration
	f := cmd.Flags()
	f.StringSliceVar(&without, "without", nil, "measure only all decisions, and all without each of these; A+B is without both")
	f.DurationVar(&decision, "decision", 0, "time of the outside policy for a request, instead of that in the file")
	f.DurationVar(&worker, "perworker", 0, "its time for each worker named, with --decision")
	f.StringVar(&file, "file", file, "JSON file with the pool and its load")
	f.IntVar(&seeds, "seeds", seeds, "number of days, each with a seed of its own")
	return measureCommand(cmd, func() (measurement, error) {
		s, err := evaluator.ReadPool(file)
		if err != nil {
			return nil, err
		}
		if decision > 0 {
			s.SetPermitTime(decision, worker)
		}
		policies, err := evaluator.PoolPolicies(without)
		if err != nil {
			return nil, err
		}
		return evaluator.MeasurePool(file, s, policies, seeds)
	})
}

func newMeasureInterference() *cobra.Command {
	s := evaluator.DefaultInterference()
	span := s.Length.Std()
	cmd := &cobra.Command{
		Use:   "interference",
		Short: "Measure how well tasks that slow each other down are found and kept apart",
		Long: "Interference plays random days in which it is known which images slow each other down, with each mode. It prints\n" +
			"the precision and recall of the pairs that are believed, and by how much tasks are slowed down in the second half.",
		Example: "  goldcreststack measure interference\n  goldcreststack measure interference --seeds 3 --span 1m --json",
	}
	f := cmd.Flags()
	f.IntVar(&s.Seeds, "seeds", s.Seeds, "number of days, each with a seed of its own")
	f.DurationVar(&span, "span", span, "length of a day")
	f.IntVar(&s.Workers, "workers", s.Workers, "number of workers, at least 3")
	f.IntVar(&s.Images, "images", s.Images, "number of images")
	f.IntVar(&s.Pairs, "pairs", s.Pairs, "number of pairs of images that slow each other down")
	f.Float64Var(&s.Load, "load", s.Load, "share of the cores that tasks ask for")
	return measureCommand(cmd, func() (measurement, error) {
		s.Length = modeler.Duration(span)
		return evaluator.MeasureInterference(s)
	})
}

func newMeasurePlacement() *cobra.Command {
	s := evaluator.DefaultPlacement()
	cmd := &cobra.Command{
		Use:   "placement",
		Short: "Measure decisions, heartbeats, cancellations and losses of workers",
		Long: "Placement measures the placer alone: decisions a second in a steady and in a full cell of each size, and, on\n" +
			"the largest one, a round of heartbeats, a wave of cancellations, and the loss of a rack and of a failure domain.",
		Example: "  GOMAXPROCS=1 goldcreststack measure placement\n" +
			"  goldcreststack measure placement --workers 48,500 --steps 10000 --rounds 1 --json",
	}
	f := cmd.Flags()
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of the random jobs")
	f.IntSliceVar(&s.Workers, "workers", s.Workers, "sizes of the cells, at least 48")
	f.IntVar(&s.Steps, "steps", s.Steps, "submissions, each with a decision and an end, on each cell")
	f.IntVar(&s.Rounds, "rounds", s.Rounds, "repetitions of heartbeats, cancellations and losses")
	return measureCommand(cmd, func() (measurement, error) { return evaluator.MeasurePlacement(s) })
}

func newMeasureDay() *cobra.Command {
	s := evaluator.DefaultDay()
	span := time.Duration(s.Seconds) * time.Second
	cmd := &cobra.Command{
		Use:   "day",
		Short: "Run a random day with the placer, first fit and one pool",
		Long: "Day runs the same random day of jobs on 48 workers with both policies of the placer, with first fit in order\n" +
			"of arrival and with one pool of all resources, and prints waiting times and packing.",
		Example: "  goldcreststack measure day\n  goldcreststack measure day --span 4h --load 0.7 --seed 7 --json",
	}
	f := cmd.Flags()
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of the random jobs")
	f.Float64Var(&s.Load, "load", s.Load, "share of the declared processors that the jobs ask for, up to 1")
	f.DurationVar(&span, "span", span, "length of the day")
	f.BoolVar(&s.Shapes, "shapes", s.Shapes, "draw the jobs from small, memory-heavy, processor-heavy and large ones")
	return measureCommand(cmd, func() (measurement, error) {
		s.Seconds = int(span / time.Second)
		return evaluator.MeasureDay(s)
	})
}

func newMeasureWaiting() *cobra.Command {
	s := evaluator.DefaultWaiting()
	cmd := &cobra.Command{
		Use:   "waiting",
		Short: "Compare the waiting time of lent slots with other ways to share them",
		Long: "Waiting runs random requests through 7 entry hosts and 48 workers of 8 slots, in simulated time, with lent slots,\n" +
			"a fixed share, an owner for each worker, a central queue and one ideal queue.",
		Example: "  goldcreststack measure waiting\n  goldcreststack measure waiting --loads 0.8 --span 2s --seed 7 --json",
	}
	f := cmd.Flags()
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of arrivals and service times")
	f.Float64SliceVar(&s.Loads, "loads", s.Loads, "shares of what the slots can do")
	f.DurationVar(&s.Span, "span", s.Span, "simulated time that is measured")
	return measureCommand(cmd, func() (measurement, error) { return evaluator.MeasureWaiting(s) })
}

func newMeasureShares() *cobra.Command {
	s := evaluator.DefaultShares()
	cmd := &cobra.Command{
		Use:   "shares",
		Short: "Measure how teams and callers share the slots of the same workers",
		Long: "Shares runs two teams, or two callers of one team, through 7 entry hosts and 48 workers of 8 slots, in simulated\n" +
			"time, with lent slots. The first asks for three times its share, the second for half of its own or as much.",
		Example: "  goldcreststack measure shares\n  goldcreststack measure shares --span 2s --seed 7 --json",
	}
	f := cmd.Flags()
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of arrivals and service times")
	f.DurationVar(&s.Span, "span", s.Span, "simulated time that is measured")
	return measureCommand(cmd, func() (measurement, error) { return evaluator.MeasureShares(s) })
}

func newMeasureLog() *cobra.Command {
	s := evaluator.DefaultLog()
	cmd := &cobra.Command{
		Use:   "log",
		Short: "Measure proposals a second and the memory of an entry",
		Long: "Log measures the replicated log alone, with members in one process and no disk. It draws no random numbers,\n" +
			"so it has no seed.",
		Example: "  goldcreststack measure log\n  goldcreststack measure log --members 3 --batches 1,16,256 --proposals 100000 --json",
	}
	f := cmd.Flags()
	f.IntSliceVar(&s.Members, "members", s.Members, "sizes of the groups")
	f.IntSliceVar(&s.Batches, "batches", s.Batches, "proposals at a time")
	f.IntVar(&s.Proposals, "proposals", s.Proposals, "proposals of each group and batch")
	f.IntVar(&s.Entries, "entries", s.Entries, "entries of the log whose memory is measured")
	return measureCommand(cmd, func() (measurement, error) { return evaluator.MeasureLog(s) })
}

func newMeasureStorage() *cobra.Command {
	s := evaluator.DefaultStorage("")
	cmd := &cobra.Command{
		Use:   "storage",
		Short: "Measure appends with their syncs and the opening of a log",
		Long: "Storage measures the log's files in a new folder under --folder, which it removes again. Each batch of entries\n" +
			"replaces the one before. No random numbers are drawn, so there is no seed.",
		Example: "  goldcreststack measure storage --folder /var/lib\n" +
			"  goldcreststack measure storage --batches 1,64 --span 500ms --entries 10000 --json",
	}
	f := cmd.Flags()
	f.StringVar(&s.Folder, "folder", "", "folder on the disk to measure (default the folder for temporary files)")
	f.IntSliceVar(&s.Batches, "batches", s.Batches, "entries to a sync")
	f.DurationVar(&s.Span, "span", s.Span, "time for each batch size and for opening")
	f.IntVar(&s.Entries, "entries", s.Entries, "entries of the log that is opened, a multiple of 1000")
	return measureCommand(cmd, func() (measurement, error) { return evaluator.MeasureStorage(s) })
}
