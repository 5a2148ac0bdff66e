package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

// setUpLocal applies localTicket, waits until the entry process is ready, and
// prints example commands. Applying the same ticket again after a restart
// changes nothing.
func setUpLocal(ctx context.Context, cmd *cobra.Command, address string) error {
	body, err := json.Marshal(localTicket())
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if applyLocalTicket(ctx, address, body) && isReady(ctx, address) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if ctx.Err() != nil {
		return nil
	}
	fmt.Fprintf(cmd.OutOrStdout(), "goldcreststack serves on %[1]s; try\n"+
		"  curl -i http://%[1]s/v1/services/breakfast-register/sign-in -d 'child=1024'\n"+
		"  goldcreststack status --entries %[1]s\n", address)
	return nil
}

// applyLocalTicket sends the ticket and returns whether the group has accepted it
// or a later one.
func applyLocalTicket(ctx context.Context, address string, ticket []byte) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/tickets", bytes.NewReader(ticket))
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	// A conflict means that operators have applied later tickets to the same
	// data folder.
	return answer.StatusCode == http.StatusOK || answer.StatusCode == http.StatusConflict
}

// isReady returns whether the entry process at the address passes its readiness
// check.
func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
