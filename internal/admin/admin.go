// Package admin implements the client side of the operators' commands: it sends requests to
// the internal address of a running controller and prints the responses.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"garnethitch/internal/client"
	"garnethitch/internal/http1"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// timeout limits a request to a controller.
const timeout = 6 * time.Second

// ErrRefused is returned when the controller responds but does not carry out the request.
var ErrRefused = errors.New("refused")

// RequestQuota sends a request about groups to the controller at an address (IP:port). The error
// wraps ErrRefused if the controller responds that it cannot carry out the request, for example
// because its options have no groups, or if its response has no part about groups. A controller of
// a version that does not know groups sends such a response.
func RequestQuota(ctx context.Context, addr string, req peer.QuotaRequest) (*peer.QuotaResponse, error) {
	body, err := peer.Encode(peer.Request{Quota: &req})
	if err != nil {
		return nil, err
	}
	msg, err := send(ctx, addr, body)
	if err != nil {
		return nil, fmt.Errorf("controller at %s: %w", addr, err)
	}
	var resp peer.Response
	if msg.Status == http.StatusOK {
		err = peer.Decode(msg.Body, &resp)
	}
	if err != nil || resp.Quota == nil {
		return nil, fmt.Errorf("controller at %s: status %d, no answer about groups, its version may not know them: %w", addr, msg.Status, ErrRefused)
	}
	if resp.Quota.Problem != "" {
		return nil, fmt.Errorf("%s: %w", resp.Quota.Problem, ErrRefused)
	}
	return resp.Quota, nil
}

// send sends an encoded peer.Request to the controller at an address.
func send(ctx context.Context, addr string, body []byte) (http1.Message, error) {
	c := client.New(client.Config{
		MaxIdle:      1,
		MaxConns:     1,
		MaxBodyBytes: peer.MaxMessage,
		IdleTimeout:  timeout,
		DialTimeout:  timeout,
	})
	return c.Do(ctx, client.Call{
		Addr:        addr,
		Method:      http.MethodPost,
		Target:      peer.Path,
		ContentType: peer.ContentType,
		Body:        body,
		Timeout:     timeout,
	})
}

// WriteJSON writes the groups, and the labels in QuotaResponse.ControllersWithoutQuota, as JSON.
func WriteJSON(w io.Writer, resp *peer.QuotaResponse) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(struct {
		Groups  []quota.GroupStatus `json:"groups"`
		Without []string            `json:"controllers_without_groups"`
	}{
		// Concat turns a nil list into an empty one. A nil list would be written as null.
		Groups:  slices.Concat([]quota.GroupStatus{}, resp.Groups),
		Without: slices.Concat([]string{}, resp.ControllersWithoutQuota),
	})
}

// WriteTable writes a table of groups and a table of their shards. One line follows for each shard
// that holds up a limit, and for each controller that does not enforce limits.
func WriteTable(w io.Writer, resp *peer.QuotaResponse) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeGroups(t, resp.Groups)
	writeShards(t, resp.Groups)
	if err := t.Flush(); err != nil {
		return err
	}
	writeObstacles(w, resp)
	return nil
}

func writeGroups(w io.Writer, groups []quota.GroupStatus) {
	fmt.Fprintln(w, "GROUP\tPARENT\tLIMIT\tSTATE\tIN FORCE\tSOURCE\tEPOCH\tGUARANTEE\tLENT\tFREE")
	for _, g := range groups {
		inForce := "none"
		if g.LastInForce != nil {
			inForce = g.LastInForce.String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", g.Name, orDash(g.Parent), g.Limit, g.State, inForce, g.Source, g.Epoch,
			formatAmount(g.Guarantee), formatAmount(g.Lent), formatAmount(g.Free))
	}
}

func writeShards(w io.Writer, groups []quota.GroupStatus) {
	fmt.Fprintln(w, "\nGROUP\tSHARE\tOWNER\tALLOWANCE\tUSED\tWANTED\tSEEN EPOCH")
	for _, g := range groups {
		for _, s := range g.Shards {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%d\n", g.Name, s.Shard, orDash(s.Owner),
				formatAmount(s.Allowance), formatAmount(s.Used), formatAmount(s.Want), s.SeenEpoch)
		}
	}
}

// writeObstacles writes a line for each shard that holds up a limit and for each controller in
// QuotaResponse.ControllersWithoutQuota.
func writeObstacles(w io.Writer, resp *peer.QuotaResponse) {
	for _, g := range resp.Groups {
		for _, h := range g.Blockers {
			fmt.Fprintf(w, "%s is held up by share %d (%s): %s\n", g.Name, h.Shard, orDash(h.Owner), h.Reason)
		}
	}
	for _, label := range resp.ControllersWithoutQuota {
		fmt.Fprintf(w, "controller %s does not enforce the limits of groups\n", label)
	}
}

func formatAmount(a quota.Amount) string {
	if a.GPUs == 0 {
		return fmt.Sprintf("%g CPUs", a.CPUs)
	}
	return fmt.Sprintf("%g CPUs, %g GPUs", a.CPUs, a.GPUs)
}

// orDash returns s, or "-" if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
