package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"goldcreststack.example/goldcreststack/inspector"
	"goldcreststack.example/goldcreststack/loader"
	"goldcreststack.example/goldcreststack/operator"
)

// checkAnswer is the JSON document that check prints with --json.
type checkAnswer struct {
	File     string   `json:"file"`
	Kind     string   `json:"kind"`
	Roles    []string `json:"roles,omitempty"`
	Findings []string `json:"findings,omitempty"`
	// Against and Inspection are for a layout only.
	Against    string              `json:"against,omitempty"`
	Inspection []inspector.Finding `json:"inspection,omitempty"`
}

func newCheck() *cobra.Command {
	kind, against, asJSON := "", "", false
	kinds := []string{"settings", "ticket", "job", "layout"}
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings, ticket, job or layout file; nothing is started or sent",
		Long: "Check prints every fault of the file with its line and field.\n\n" +
			"Without --kind the file is taken for a ticket when it has a field number,\n" +
			"for a job when it has a field tasks, and for settings otherwise.\n\n" +
			"A layout is a configuration of the users' platform, as operators send it.\n" +
			"Check also prints its entries without effect, its contradictory limits and,\n" +
			"with --against, what it changes, refuses and stops when it replaces the\n" +
			"version in force. Keys are never printed.\n\n" +
			"Exit codes: 0 the file is usable, 1 it is not.",
		Example: "  goldcreststack check samples/kitahama/host-1.json\n" +
			"  goldcreststack check samples/kitahama/ticket-1.json\n" +
			"  goldcreststack check --kind layout next.json --against inforce.json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if kind == "" {
				kind = loader.DetectKind(args[0])
			}
			if !slices.Contains(kinds, kind) {
				return fmt.Errorf("--kind %q is none of %s", kind, strings.Join(kinds, ", "))
			}
			if kind == "layout" {
				return runCheckLayout(cmd, args[0], against, asJSON)
			}
			if against != "" {
				return errors.New("--against is for --kind layout only")
			}
			return runCheck(cmd, args[0], kind, asJSON)
		},
	}
	cmd.Flags().StringVar(&kind, "kind", "", "settings, ticket, job or layout")
	cmd.Flags().StringVar(&against, "against", "", "the layout in force, as the system returns it")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON document")
	return cmd
}

func runCheck(cmd *cobra.Command, path, kind string, asJSON bool) error {
	answer := checkAnswer{File: path, Kind: kind}
	var findings []loader.Finding
	switch kind {
	case "ticket":
		_, findings = loader.LoadTicket(path)
	case "job":
		_, findings = loader.LoadJob(path)
	default:
		var settings loader.Settings
		settings, findings = loader.LoadSettings(path)
		for _, role := range settings.Roles() {
			answer.Roles = append(answer.Roles, string(role))
		}
	}
	for _, f := range findings {
		answer.Findings = append(answer.Findings, f.String())
	}
	if asJSON {
		if err := printJSON(cmd.OutOrStdout(), &answer); err != nil {
			return err
		}
		return codeError(operator.Usage, len(findings) > 0)
	}
	if len(findings) > 0 {
		fmt.Fprintln(cmd.ErrOrStderr(), loader.FormatFindings(findings))
		return errors.New("the file can't be used")
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: usable %s", path, kind)
	if len(answer.Roles) > 0 {
		fmt.Fprintf(cmd.OutOrStdout(), " for the roles %s", strings.Join(answer.Roles, ", "))
	}
	fmt.Fprintln(cmd.OutOrStdout())
	return nil
}

func runCheckLayout(cmd *cobra.Command, path, against string, asJSON bool) error {
	answer := checkAnswer{File: path, Kind: "layout", Against: against}
	document, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	layout, findings := inspector.Parse(document)
	if layout != nil {
		findings = inspector.Inspect(layout)
	}
	if against != "" {
		document, err = os.ReadFile(against)
		if err != nil {
			return err
		}
		held, faults := inspector.Parse(document)
		if held == nil {
			return fmt.Errorf("--against %s: %s", against, faults[0].Text)
		}
		if layout != nil {
			findings = append(findings, inspector.Compare(held, layout)...)
		}
	}
	answer.Inspection = findings
	isUsable := inspector.IsUsable(findings)
	if asJSON {
		if err := printJSON(cmd.OutOrStdout(), &answer); err != nil {
			return err
		}
		return codeError(operator.Usage, !isUsable)
	}
	for _, f := range findings {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", path, f)
	}
	if !isUsable {
		return errors.New("the file can't be used")
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: usable layout\n", path)
	return nil
}
