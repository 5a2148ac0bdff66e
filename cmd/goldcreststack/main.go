package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// The first signal restores the default action, so that a second one ends
	// the process at once.
	context.AfterFunc(ctx, stop)
	if err := newRoot().ExecuteContext(ctx); err != nil {
		if !isReported(err) {
			fmt.Fprintln(os.Stderr, "goldcreststack:", err)
		}
		os.Exit(exitCode(err))
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "goldcreststack",
		Short:         "A cluster scheduler for services, batch work and all-at-once jobs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newLocal(),
		newControl(),
		newEntry(),
		newWorker(),
		newHosted(),
		newCheck(),
		newCapacity(),
		newProve(),
		newLoad(),
		newMeasure(),
		newWaits(),
	)
	root.AddCommand(newClientCommands()...)
	return root
}
