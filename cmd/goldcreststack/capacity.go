package main

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"goldcreststack.example/goldcreststack/estimator"
)

func newCapacity() *cobra.Command {
	today, asJSON := false, false
	cmd := &cobra.Command{
		Use:     "capacity",
		Short:   "Measure what the roles cost and work out the cost at the design size",
		Example: "  goldcreststack capacity\n  goldcreststack capacity --today --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			size := estimator.Design()
			if today {
				size = estimator.Today()
			}
			slopes := estimator.Slopes(size)
			sums := estimator.Sums(size, slopes)
			if !asJSON {
				return estimator.Print(cmd.OutOrStdout(), slopes, sums)
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(struct {
				Size   estimator.Size    `json:"size"`
				Slopes []estimator.Slope `json:"slopes"`
				Sums   []estimator.Sum   `json:"sums"`
			}{size, slopes, sums})
		},
	}
	cmd.Flags().BoolVar(&today, "today", false, "work out the cost at the size of one user's cell of today")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
