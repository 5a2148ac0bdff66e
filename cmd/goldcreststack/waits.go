package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"goldcreststack.example/goldcreststack/operator"
)

func newWaits() *cobra.Command {
	queue, most, asJSON := "", 30, false
	cmd := &cobra.Command{
		Use:   "waits [LOG...]",
		Short: "Show where the time of flows went, from the logs of control processes",
		Long: "Waits reads the log lines of control processes, from files or standard input, and shows for each flow how\n" +
			"long it waited for the outside policy, for room for its first and its last task, and ran, the longest first.",
		Example: "  goldcreststack waits --queue /render/ control-1.log control-2.log",
		RunE: func(cmd *cobra.Command, args []string) error {
			logs := []io.Reader{cmd.InOrStdin()}
			if len(args) > 0 {
				logs = nil
			}
			for _, path := range args {
				log, err := os.Open(path)
				if err != nil {
					return err
				}
				defer log.Close()
				logs = append(logs, log)
			}
			waits, err := operator.ReadWaits(logs...)
			if err != nil {
				return err
			}
			return printResult(cmd.OutOrStdout(), asJSON, waits, waits.Text(queue, most))
		},
	}
	f := cmd.Flags()
	f.StringVar(&queue, "queue", queue, "show only queues whose name contains this text")
	f.IntVar(&most, "most", most, "number of flows to show")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
