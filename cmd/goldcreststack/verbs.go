package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"goldcreststack.example/goldcreststack/modeler"
	"goldcreststack.example/goldcreststack/operator"
)

// entriesVariable is the environment variable with the default of --entries.
const entriesVariable = "GOLDCRESTSTACK_ENTRIES"

// exitCodesHelp is the part of the help text that all client commands share.
const exitCodesHelp = `

Exit codes:
  0  done
  1  wrong argument or faulty file; nothing was sent
  2  refused; nothing has changed
  3  conflict: the ticket's number is held by another ticket or too low
  4  the outcome is unknown: it may or may not have happened
  5  no entry host could serve it; nothing has changed`

// commandError carries the exit code of a client command that has printed its
// report.
type commandError struct{ code operator.ExitCode }

func (e *commandError) Error() string { return e.code.String() }

// codeError returns an error with the code if failed is true, and nil otherwise.
func codeError(code operator.ExitCode, failed bool) error {
	if !failed {
		return nil
	}
	return &commandError{code: code}
}

// isReported returns whether the error's command has already printed it.
func isReported(err error) bool {
	var command *commandError
	return errors.As(err, &command)
}

// exitCode returns the exit code of the process for an error. An error without a
// code of its own counts as wrong usage.
func exitCode(err error) int {
	var command *commandError
	if errors.As(err, &command) {
		return int(command.code)
	}
	return int(operator.Usage)
}

func printJSON(out io.Writer, content any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(content)
}

// clientCommand is a command that sends a request to an entry host.
type clientCommand struct {
	cmd      *cobra.Command
	entries  []string
	patience time.Duration
	asJSON   bool
}

// newClientCommand completes a command that calls run with a client for the entry
// hosts. If hasAddress is set, the first argument is the only address that the
// client uses, and there is no flag --entries.
func newClientCommand(cmd *cobra.Command, hasAddress bool, run func(ctx context.Context, client *operator.Client, args []string) operator.Report) *cobra.Command {
	c := &clientCommand{cmd: cmd}
	cmd.Long += exitCodesHelp
	cmd.Flags().BoolVar(&c.asJSON, "json", false, "print one JSON document")
	cmd.Flags().DurationVar(&c.patience, "patience", operator.DefaultPatience, "how long to go on while no entry host can serve; 0 asks each once")
	if !hasAddress {
		cmd.Flags().StringSliceVar(&c.entries, "entries", nil, "addresses of entry hosts, tried in this order (default $"+entriesVariable+")")
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if hasAddress {
			c.entries, args = args[:1], args[1:]
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		report := run(cmd.Context(), client, args)
		if err := report.Print(cmd.OutOrStdout(), cmd.ErrOrStderr(), c.asJSON); err != nil {
			return err
		}
		return codeError(report.Code, report.Code != operator.Done)
	}
	return cmd
}

// client returns a client for the addresses of --entries or of the
// environment.
func (c *clientCommand) client() (*operator.Client, error) {
	entries := c.entries
	if len(entries) == 0 {
		for address := range strings.SplitSeq(os.Getenv(entriesVariable), ",") {
			if address = strings.TrimSpace(address); address != "" {
				entries = append(entries, address)
			}
		}
	}
	if len(entries) == 0 {
		return nil, fmt.Errorf("no entry host is given: use --entries or the environment variable %s", entriesVariable)
	}
	patience := c.patience
	if patience <= 0 {
		patience = -1
	}
	return operator.New(operator.Options{Entries: entries, Patience: patience})
}

func newClientCommands() []*cobra.Command {
	return []*cobra.Command{
		newApply(), newTicket(), newStatus(), newJob(), newSubmit(), newCancel(), newDrain(), newDump(), newMembers(), newKeyCommand(),
	}
}

func newApply() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply TICKET.json",
		Short: "Apply a change ticket",
		Long: "Apply sends a numbered ticket, which is accepted whole or refused whole. Sending\n" +
			"it again, for instance after exit code 4, is safe: the same number with the same\n" +
			"content gets the first outcome.",
		Example: "  goldcreststack apply --entries 127.0.0.1:8470 ticket-2.json\n" +
			"  goldcreststack apply --wait 10s --json ticket-2.json",
		Args: cobra.ExactArgs(1),
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait until the ticket is in force on every host, at most this long")
	return newClientCommand(cmd, false, func(ctx context.Context, client *operator.Client, args []string) operator.Report {
		return client.Apply(ctx, args[0], wait)
	})
}

func newTicket() *cobra.Command {
	return newClientCommand(&cobra.Command{
		Use:     "ticket NUMBER",
		Short:   "Show an accepted ticket and whether it is in force",
		Long:    "Ticket shows the version that an accepted ticket made, its digest, and which entry\nhosts have not confirmed it.",
		Example: "  goldcreststack ticket --entries 127.0.0.1:8470 1",
		Args:    requireNumberFirst(1),
	}, false, func(ctx context.Context, client *operator.Client, args []string) operator.Report {
		return client.Ticket(ctx, modeler.TicketNumber(parseNumber(args[0])))
	})
}

func newStatus() *cobra.Command {
	return newClientCommand(&cobra.Command{
		Use:     "status",
		Short:   "Show the cell as its leader sees it",
		Long:    "Status shows the control processes, entry hosts, workers, services, tasks and jobs.",
		Example: "  goldcreststack status --entries 127.0.0.1:8470",
		Args:    cobra.NoArgs,
	}, false, func(ctx context.Context, client *operator.Client, _ []string) operator.Report {
		return client.Status(ctx)
	})
}

func newJob() *cobra.Command {
	return newClientCommand(&cobra.Command{
		Use:     "job ID",
		Short:   "Show a job, its tasks and why they wait",
		Long:    "Job shows the state of a job, where its tasks run, and why the others wait.",
		Example: "  goldcreststack job --entries 127.0.0.1:8470 archive-indexing",
		Args:    cobra.ExactArgs(1),
	}, false, func(ctx context.Context, client *operator.Client, args []string) operator.Report {
		return client.Job(ctx, modeler.JobID(args[0]))
	})
}

func newSubmit() *cobra.Command {
	key := ""
	cmd := &cobra.Command{
		Use:   "submit JOB.json",
		Short: "Submit a job within what a ticket has set up",
		Long: "Submit sends one job under an idempotency key, a UUIDv7 that is made for it unless\n" +
			"--key gives one. After exit code 4, send it again with the key that was printed:\n" +
			"the job is created at most once.",
		Example: "  goldcreststack submit --entries 127.0.0.1:8470 job.json\n" +
			"  goldcreststack submit --key 019aa0f1-5b7c-7000-8000-000000000001 job.json",
		Args: cobra.ExactArgs(1),
	}
	cmd.Flags().StringVar(&key, "key", "", "idempotency key of an earlier sending")
	return newClientCommand(cmd, false, func(ctx context.Context, client *operator.Client, args []string) operator.Report {
		if key == "" {
			key = newKey()
		}
		return client.Submit(ctx, args[0], key)
	})
}

// newKey returns a new UUIDv7. It panics if the system's random source fails.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func newKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "key",
		Short:   "Print a new idempotency key",
		Long:    "Key prints a UUIDv7, which carries its time of creation. It is good for 24 hours.",
		Example: "  curl -H \"Idempotency-Key: $(goldcreststack key)\" http://127.0.0.1:8470/v1/services/headcount/tonight -d school=12",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintln(cmd.OutOrStdout(), newKey())
			return nil
		},
	}
}

func newCancel() *cobra.Command {
	return newClientCommand(&cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a job that was submitted",
		Long: "Cancel ends the waiting tasks of a job at once and stops those that run. A job that\n" +
			"a ticket holds is removed by a ticket instead.",
		Example: "  goldcreststack cancel --entries 127.0.0.1:8470 job-7",
		Args:    cobra.ExactArgs(1),
	}, false, func(ctx context.Context, client *operator.Client, args []string) operator.Report {
		return client.Cancel(ctx, modeler.JobID(args[0]))
	})
}

func newDrain() *cobra.Command {
	return newClientCommand(&cobra.Command{
		Use:   "drain ADDRESS",
		Short: "Shut one entry process down without interrupting requests",
		Long: "Drain fails the readiness of the entry process at the address, lets it finish the\n" +
			"requests in flight and ends it. It ignores --entries, so that no other host drains.",
		Example: "  goldcreststack drain 127.0.0.1:8470",
		Args:    cobra.ExactArgs(1),
	}, true, func(ctx context.Context, client *operator.Client, _ []string) operator.Report {
		return client.Drain(ctx)
	})
}

func newDump() *cobra.Command {
	return newClientCommand(&cobra.Command{
		Use:     "dump ADDRESS",
		Short:   "Print the state of one process",
		Long:    "Dump prints the state of the entry process at the address, or of the control process\nwhose http address it is, as JSON.",
		Example: "  goldcreststack dump 127.0.0.1:8470",
		Args:    cobra.ExactArgs(1),
	}, true, func(ctx context.Context, client *operator.Client, _ []string) operator.Report {
		return client.Dump(ctx)
	})
}

func newMembers() *cobra.Command {
	group := &cobra.Command{
		Use:   "members",
		Short: "Show and change the control processes of the group",
		Long: "A lost host or disk is replaced by a new member: start it with join in its settings\n" +
			"and an id that was never used, add it, promote it once it has caught up, and remove\n" +
			"the lost member.",
		Args: cobra.NoArgs,
	}
	group.AddCommand(
		newClientCommand(&cobra.Command{
			Use: "list", Short: "Show the members and whether they have caught up",
			Long:    "List shows each member with its address, role and progress.",
			Example: "  goldcreststack members list", Args: cobra.NoArgs,
		}, false, func(ctx context.Context, client *operator.Client, _ []string) operator.Report {
			return client.Members(ctx)
		}),
		newClientCommand(&cobra.Command{
			Use: "add ID ADDRESS", Short: "Add a member as a learner",
			Long:    "Add lets the control process that advertises ADDRESS receive the log. It counts\ntowards the quorum only after it has been promoted.",
			Example: "  goldcreststack members add 4 192.0.2.14:7100", Args: requireNumberFirst(2),
		}, false, func(ctx context.Context, client *operator.Client, args []string) operator.Report {
			return client.AddMember(ctx, parseMemberID(args[0]), args[1])
		}),
		newClientCommand(&cobra.Command{
			Use: "promote ID", Short: "Make a learner that has caught up a voter",
			Long:    "Promote is refused while the learner has not caught up; it goes on trying for the\ntime given by --patience.",
			Example: "  goldcreststack members promote 4", Args: requireNumberFirst(1),
		}, false, func(ctx context.Context, client *operator.Client, args []string) operator.Report {
			return client.PromoteMember(ctx, parseMemberID(args[0]))
		}),
		newClientCommand(&cobra.Command{
			Use: "remove ID", Short: "Remove a member for good",
			Long:    "Remove takes a member out of the group. Its id and its data folder must not be used\nagain.",
			Example: "  goldcreststack members remove 2", Args: requireNumberFirst(1),
		}, false, func(ctx context.Context, client *operator.Client, args []string) operator.Report {
			return client.RemoveMember(ctx, parseMemberID(args[0]))
		}),
		newClientCommand(&cobra.Command{
			Use: "transfer ID", Short: "Let another voter lead",
			Long:    "Transfer brings the voter up to date and hands the leadership to it. A leader that\nis shut down with SIGTERM does the same by itself.",
			Example: "  goldcreststack members transfer 2", Args: requireNumberFirst(1),
		}, false, func(ctx context.Context, client *operator.Client, args []string) operator.Report {
			return client.Transfer(ctx, parseMemberID(args[0]))
		}),
	)
	return group
}

// requireNumberFirst requires n arguments, the first of which is a positive number.
func requireNumberFirst(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return err
		}
		if parseNumber(args[0]) == 0 {
			return fmt.Errorf("%q is not a positive number", args[0])
		}
		return nil
	}
}

// parseNumber returns 0 if the text is not a number.
func parseNumber(text string) uint64 {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return number
}

func parseMemberID(text string) modeler.MemberID { return modeler.MemberID(parseNumber(text)) }
