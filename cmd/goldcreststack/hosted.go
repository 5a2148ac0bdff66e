package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"goldcreststack.example/goldcreststack/hoster"
	"goldcreststack.example/goldcreststack/loader"
	"goldcreststack.example/goldcreststack/platform"
	"goldcreststack.example/goldcreststack/reporter"
)

// flushTimeout bounds the wait of an ending process for a slow reader of its log.
const flushTimeout = 200 * time.Millisecond

func newHosted() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "hosted",
		Short: "Run a role on the users' platform, which provides the settings",
	}
	add := func(name loader.Role, short string, run func(context.Context, *platform.Node, *reporter.Reporter) error) *cobra.Command {
		role := &cobra.Command{
			Use:   string(name),
			Short: short,
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				// The platform announces changed settings by SIGHUP, which would end the
				// process. It loses no change, since the settings are polled later.
				signal.Ignore(syscall.SIGHUP)
				node, err := platform.LoadNode()
				if err != nil {
					return err
				}
				out := reporter.NewAsyncWriter(os.Stdout)
				defer out.Flush(flushTimeout)
				return run(cmd.Context(), node, reporter.New(reporter.Options{
					Role:  string(name),
					Name:  node.Name,
					Out:   out,
					Level: reporter.Info,
				}))
			},
		}
		cmd.AddCommand(role)
		return role
	}
	add(loader.EntryRole, "Serve callers", hoster.RunEntry)
	var options hoster.ControlOptions
	control := add(loader.ControlRole, "Run a member of the replicated group", func(ctx context.Context, node *platform.Node, report *reporter.Reporter) error {
		return hoster.RunControl(ctx, node, report, options)
	})
	control.Flags().StringVar(&options.Bind, "bind", "", "IP address to accept links at and to open them from, if it is not the advertised one")
	control.Flags().Uint64Var((*uint64)(&options.Restore), "restore", 0, "the id of this member: start a new group of it alone from its data folder, after the quorum was lost for good")
	return cmd
}
