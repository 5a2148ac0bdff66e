package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"goldcreststack.example/goldcreststack/measurer"
	"goldcreststack.example/goldcreststack/modeler"
)

// loadFlags holds the flags of the load command that aren't fields of
// measurer.Settings.
type loadFlags struct {
	service string
	body    string
	direct  []string
	levels  []int
	asJSON  bool
}

func newLoad() *cobra.Command {
	settings := measurer.Settings{}
	flags := loadFlags{}
	cmd := &cobra.Command{
		Use:   "load ADDRESS...",
		Short: "Send requests to entry hosts and report their times",
		Long: "Send requests to entry hosts in turn and report their times.\n\n" +
			"With --rate the requests arrive at random whether earlier ones have been answered or not, and their times\n" +
			"count from the intended start. Without it --concurrency requests are under way at a time.\n" +
			"With --direct the same load goes through the entry hosts and straight to the workers, in turns.",
		Example: "  goldcreststack load 127.0.0.1:8470 --service breakfast-register --rate 200 --duration 10s\n" +
			"  goldcreststack load 127.0.0.1:8470 --service breakfast-register --concurrency 64 --once 0.1 --json\n" +
			"  goldcreststack load 127.0.0.1:8470 --service breakfast-register --direct 127.0.0.1:9001 --levels 1,64",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings.Entries = args
			settings.Service = modeler.ServiceName(flags.service)
			settings.Body = []byte(flags.body)
			return runLoad(cmd, settings, flags)
		},
	}
	f := cmd.Flags()
	f.StringVar(&flags.service, "service", "", "service to send to")
	f.StringVar(&settings.Method, "method", "POST", "method of the requests")
	f.StringVar(&settings.Path, "path", "load", "path after the service")
	f.StringVar(&flags.body, "body", "", "body of the requests")
	f.Float64Var(&settings.Rate, "rate", 0, "arrivals a second; 0 sends the next request when one is answered")
	f.BoolVar(&settings.EvenArrivals, "even", false, "space the arrivals evenly instead of at random")
	f.IntVar(&settings.Concurrency, "concurrency", 0, "requests at a time, with --rate at most (default 1, with --rate 1024)")
	f.IntVar(&settings.Count, "count", 0, "number of requests at most (default 10000)")
	f.DurationVar(&settings.Duration, "duration", 0, "time of sending at most (default 10s)")
	f.DurationVar(&settings.Timeout, "timeout", 0, "time for one request (default 30s)")
	f.Float64Var(&settings.NonRepeatableShare, "once", 0, "share of requests that must not be repeated, from 0 to 1")
	f.BoolVar(&settings.Verify, "verify", false, "check that each answer of a stand-in worker is the request's own")
	f.BoolVar(&settings.Remote, "remote", false, "allow addresses other than loopback")
	f.StringSliceVar(&flags.direct, "direct", nil, "addresses of workers for a comparison without the system")
	f.IntSliceVar(&flags.levels, "levels", measurer.DefaultLevels, "requests at a time of the comparison")
	f.BoolVar(&flags.asJSON, "json", false, "print JSON")
	return cmd
}

func runLoad(cmd *cobra.Command, settings measurer.Settings, flags loadFlags) error {
	if flags.service == "" {
		return errors.New("load needs a --service")
	}
	if len(flags.direct) > 0 {
		comparisons, err := measurer.Compare(cmd.Context(), settings, flags.direct, flags.levels)
		if err != nil {
			return err
		}
		return printResult(cmd.OutOrStdout(), flags.asJSON, comparisons, measurer.FormatComparisons(comparisons))
	}
	report, err := measurer.Run(cmd.Context(), settings)
	if err != nil {
		return err
	}
	return printResult(cmd.OutOrStdout(), flags.asJSON, report, report.Text())
}

// printResult writes the document as JSON or the text as it is.
func printResult(w io.Writer, asJSON bool, document any, text string) error {
	if !asJSON {
		_, err := fmt.Fprint(w, text)
		return err
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}
