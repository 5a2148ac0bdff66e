package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/forwarder"
	"goldcreststack.example/goldcreststack/loader"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/reporter"
	"goldcreststack.example/goldcreststack/worker"
)

// loadSettings reads a settings file for the roles and prints every finding.
func loadSettings(cmd *cobra.Command, path string, roles ...loader.Role) (loader.Settings, error) {
	settings, findings := loader.LoadSettings(path, roles...)
	if len(findings) == 0 {
		return settings, nil
	}
	fmt.Fprint(cmd.ErrOrStderr(), loader.FormatFindings(findings))
	return settings, errors.New("the settings can't be used")
}

func newReporter(cmd *cobra.Command, role loader.Role, name string) *reporter.Reporter {
	return reporter.New(reporter.Options{
		Role:  string(role),
		Name:  name,
		Out:   cmd.ErrOrStderr(),
		Level: reporter.Info,
	})
}

func newControl() *cobra.Command {
	bootstrap, restore := false, uint64(0)
	cmd := &cobra.Command{
		Use:   "control SETTINGS",
		Short: "Run a control process: replicated state, leases and placement",
		Example: "  goldcreststack control --bootstrap samples/kitahama/host-1.json   # the first start of a new group\n" +
			"  goldcreststack control samples/kitahama/host-1.json\n" +
			"  goldcreststack control --restore 1 samples/kitahama/host-1.json   # the quorum is lost for good",
		Long: "Control runs one member of the replicated group.\n\n" +
			"--restore is the way back when most members are lost for good. It makes a new group\n" +
			"of the last surviving member alone. What only the lost members held is lost, and none\n" +
			"of them may ever be started again. Give it once, by hand, never in a start script.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := loadSettings(cmd, args[0], loader.ControlRole)
			if err != nil {
				return err
			}
			return runControl(cmd.Context(), cmd, settings, bootstrap, modeler.MemberID(restore))
		},
	}
	cmd.Flags().BoolVar(&bootstrap, "bootstrap", false, "start a new group; only on the first start of its first members")
	cmd.Flags().Uint64Var(&restore, "restore", 0, "the id of this member: start a new group of it alone from its data folder, after the quorum was lost for good")
	return cmd
}

func runControl(ctx context.Context, cmd *cobra.Command, settings loader.Settings, bootstrap bool, restore modeler.MemberID) error {
	s := settings.Control
	out := controller.Settings{
		Member:    s.Member,
		Listen:    s.ListenAddress,
		Advertise: s.AdvertisedAddress,
		HTTP:      s.HTTPAddress,
		Folder:    s.DataFolder,
		Bootstrap: bootstrap,
		Join:      s.Join,
		Restore:   restore,
		Report:    newReporter(cmd, loader.ControlRole, settings.Host),
	}
	for _, m := range s.Members {
		out.First.Members = append(out.First.Members, modeler.Member{ID: m.ID, Address: m.Address})
	}
	c, err := controller.New(out)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

func newEntry() *cobra.Command {
	return &cobra.Command{
		Use:     "entry SETTINGS",
		Short:   "Run an entry process for callers, workers and operators",
		Example: "  goldcreststack entry samples/kitahama/host-1.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := loadSettings(cmd, args[0], loader.EntryRole)
			if err != nil {
				return err
			}
			s := settings.Entry
			return forwarder.New(forwarder.Settings{
				Entry:       s.Name,
				Listen:      s.ListenAddress,
				Controls:    s.ControlAddresses,
				MaxBody:     s.Limits.MaxBodyBytes,
				MaxBuffered: s.Limits.MaxBufferedBytes,
				DrainDelay:  s.DrainDelay,
				DrainGrace:  s.ShutdownTimeout,
				Report:      newReporter(cmd, loader.EntryRole, string(s.Name)),
			}).Run(cmd.Context())
		},
	}
}

func newWorker() *cobra.Command {
	out := worker.Settings{}
	cmd := &cobra.Command{
		Use:     "worker SETTINGS",
		Short:   "Run a stand-in worker",
		Example: "  goldcreststack worker --time 20ms samples/kitahama/worker-1.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := loadSettings(cmd, args[0], loader.WorkerRole)
			if err != nil {
				return err
			}
			s := settings.Worker
			out.ID = s.Name
			out.Listen = s.ListenAddress
			out.Address = s.AdvertisedAddress
			out.Entries = s.EntryAddresses
			out.Region = settings.Region
			out.Domain = settings.Domain
			out.Rack = s.Rack
			out.Labels = s.Labels
			out.Services = s.Services
			out.Slots = s.Slots
			out.Connections = s.Connections
			out.IdleTimeout = s.IdleTimeout
			out.Capacity = s.Capacity
			return worker.New(out).Run(cmd.Context())
		},
	}
	cmd.Flags().DurationVar(&out.ServiceTime, "time", 0, "service time of a request")
	cmd.Flags().StringVar((*string)(&out.Faults.Requests), "fault", "", "misbehaviour of all requests, such as fail, close or silent")
	cmd.Flags().DurationVar(&out.Runtime, "runtime", 0, "run time of a task whose command sets none; 0 means until it is stopped")
	cmd.Flags().DurationVar(&out.CheckpointTime, "checkpoint", 0, "time that a task takes to be checkpointed")
	return cmd
}
