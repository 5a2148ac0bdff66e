package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"goldcreststack.example/goldcreststack/controller"
	"goldcreststack.example/goldcreststack/forwarder"
	"goldcreststack.example/goldcreststack/loader"
	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/worker"
)

const (
	// localWorkerCount is one worker for each of three failure domains, which
	// is enough to show placement over them.
	localWorkerCount = 3
	// localServiceTime is a stand-in worker's service time of a request.
	localServiceTime = 20 * time.Millisecond
	gibibyte         = modeler.Bytes(1 << 30)
)

// localTicket returns the ticket that sets up the team and the services of the
// README's tour.
func localTicket() *modeler.Ticket {
	service := modeler.Service{
		Name:   "breakfast-register",
		Region: "kyushu-north",
		Team:   "bureau",
		Limit:  modeler.Duration(10 * time.Second),
		Wait:   modeler.Duration(2 * time.Second),
		Queue:  1000,
	}
	headcount := service
	headcount.Name = "headcount"
	headcount.AtMostOnce = true
	return &modeler.Ticket{
		Number: 1,
		Note:   "set up by the local command",
		Teams: []modeler.Team{{
			Name:   "bureau",
			Quota:  modeler.Resources{Processors: 96_000, Memory: 192 * gibibyte},
			Weight: 1,
			Policy: modeler.Spread,
		}},
		Services: []modeler.Service{service, headcount},
	}
}

func newLocal() *cobra.Command {
	listen, folder := "", ""
	cmd := &cobra.Command{
		Use:     "local",
		Short:   "Run control, entry and stand-in workers in one process",
		Example: "  goldcreststack local\n  goldcreststack local --listen 127.0.0.1:8080",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runLocal(cmd.Context(), cmd, listen, folder)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8470", "address for callers and operators; port 0 lets the system pick one")
	cmd.Flags().StringVar(&folder, "folder", "goldcreststack-data", "data folder")
	return cmd
}

func runLocal(ctx context.Context, cmd *cobra.Command, listen, folder string) error {
	entryListener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	linkListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	if err := startLocalControl(ctx, cmd, group, linkListener, folder); err != nil {
		return err
	}
	address := entryListener.Addr().String()
	// The processes outlive the signal long enough for the entry process to
	// finish the requests in flight.
	entry := forwarder.New(forwarder.Settings{
		Entry:       "local",
		Controls:    []string{linkListener.Addr().String()},
		MaxBody:     1 << 20,
		MaxBuffered: 64 << 20,
		DrainDelay:  time.Millisecond,
		DrainGrace:  10 * time.Second,
		Report:      newReporter(cmd, loader.EntryRole, "local"),
		Listener:    entryListener,
	})
	group.Go(func() error { return entry.Run(ctx) })
	for i := range localWorkerCount {
		group.Go(func() error { return worker.New(localWorker(i, address)).Run(ctx) })
	}
	group.Go(func() error { return setUpLocal(ctx, cmd, address) })
	return group.Wait()
}

func startLocalControl(ctx context.Context, cmd *cobra.Command, group *errgroup.Group, linkListener net.Listener, folder string) error {
	path := filepath.Join(folder, "control-1")
	settings := controller.Settings{
		Member:    1,
		Advertise: linkListener.Addr().String(),
		Folder:    path,
		Bootstrap: isEmptyFolder(path),
		Report:    newReporter(cmd, loader.ControlRole, "local"),
		Listener:  linkListener,
	}
	settings.First.Members = []modeler.Member{{ID: 1, Address: settings.Advertise}}
	c, err := controller.New(settings)
	if err != nil {
		return err
	}
	group.Go(func() error { return c.Run(ctx) })
	return nil
}

// isEmptyFolder returns whether the folder is empty or missing.
func isEmptyFolder(folder string) bool {
	found, err := filepath.Glob(filepath.Join(folder, "*"))
	return err == nil && len(found) == 0
}

func localWorker(i int, entry string) worker.Settings {
	domains := []modeler.DomainName{"hakata-a", "kokura-b", "kurume-c"}
	return worker.Settings{
		ID:          modeler.WorkerID(fmt.Sprintf("worker-%d", i+1)),
		Entries:     []string{entry},
		Region:      "kyushu-north",
		Domain:      domains[i%len(domains)],
		Rack:        modeler.RackName(fmt.Sprintf("rack-%d", i+1)),
		Services:    []modeler.ServiceName{"breakfast-register", "headcount"},
		Capacity:    modeler.Resources{Processors: 32_000, Memory: 64 * gibibyte},
		ServiceTime: localServiceTime,
	}
}
