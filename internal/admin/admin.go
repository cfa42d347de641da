// Package admin asks a running controller, by its internal address, and shows what it says.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"garnethitch/internal/client"
	"garnethitch/internal/config"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// timeout is how long a controller is waited for.
const timeout = 6 * time.Second

// ErrRefused says that the controller did not do what it was asked.
var ErrRefused = errors.New("refused")

// Quota asks the controller at an address.
func Quota(ctx context.Context, addr string, req peer.QuotaRequest) (*peer.QuotaResponse, error) {
	body, err := peer.Encode(peer.Request{Quota: &req})
	if err != nil {
		return nil, err
	}
	cl := client.New(client.Config{MaxIdle: 1, MaxConns: 1, MaxBody: peer.MaxMessage, IdleTimeout: timeout, DialTimeout: timeout})
	msg, err := cl.Do(ctx, client.Call{Addr: addr, Method: "POST", Target: "/peer", ContentType: "application/msgpack", Body: body, Timeout: timeout})
	if err != nil {
		return nil, fmt.Errorf("controller at %s: %w", addr, err)
	}
	var resp peer.Response
	if msg.Status == 200 {
		err = peer.Decode(msg.Body, &resp)
	}
	if err != nil || resp.Quota == nil {
		return nil, fmt.Errorf("controller at %s: status %d, it does not know groups: %w", addr, msg.Status, ErrRefused)
	}
	if resp.Quota.Problem != "" {
		return nil, fmt.Errorf("%s: %w", resp.Quota.Problem, ErrRefused)
	}
	return resp.Quota, nil
}

// CheckSet checks a request to set a limit against the options that the controllers have.
func CheckSet(set peer.SetLimit, options string, settings config.Settings) error {
	if !set.Clear && !set.Limit.Bounded() {
		return errors.New("cpus: want --cpus, --gpus or --clear")
	}
	if err := quota.CheckLimit("limit", set.Limit); err != nil {
		return err
	}
	if options == "" {
		return nil
	}
	opt, err := config.LoadOptions(options)
	if err != nil {
		return err
	}
	if settings.Label == "" { // only an address is known, and so no teams
		for _, g := range opt.Quota.Groups {
			settings.Cluster.Teams = append(settings.Cluster.Teams, teamsOf(g)...)
		}
	}
	if err := opt.CheckQuota(options, settings); err != nil {
		return err
	}
	if !opt.Groups.Has(set.Group) {
		return fmt.Errorf("%s: group %q: want one of the file's: %s", options, set.Group, strings.Join(opt.Groups.Names(), ", "))
	}
	return nil
}

func teamsOf(g quota.GroupOptions) (teams []config.Team) {
	for _, name := range g.Teams {
		teams = append(teams, config.Team{Name: name})
	}
	return teams
}

// ShowJSON writes groups for programs.
func ShowJSON(w io.Writer, resp *peer.QuotaResponse) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(struct {
		Groups  []quota.GroupStatus `json:"groups"`
		Without []string            `json:"controllers_without_groups"`
	}{slices.Concat([]quota.GroupStatus{}, resp.Groups), slices.Concat([]string{}, resp.Without)})
}

// ShowTable writes groups for people.
func ShowTable(w io.Writer, resp *peer.QuotaResponse) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "GROUP\tPARENT\tLIMIT\tSTATE\tIN FORCE\tSOURCE\tEPOCH\tGUARANTEE\tLENT\tFREE")
	for _, g := range resp.Groups {
		inForce := "none"
		if g.Applied != nil {
			inForce = g.Applied.String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", g.Name, dash(g.Parent), g.Limit, g.State, inForce, g.Source, g.Epoch,
			amount(g.Guarantee), amount(g.Lent), amount(g.Free))
	}
	fmt.Fprintln(t, "\nGROUP\tSHARE\tOWNER\tALLOWANCE\tUSED\tWANTED\tSEEN EPOCH")
	for _, g := range resp.Groups {
		for _, s := range g.Shards {
			fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%d\n", g.Name, s.Shard, dash(s.Owner), amount(s.Allowance), amount(s.Used), amount(s.Want), s.Seen)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, g := range resp.Groups {
		for _, h := range g.HeldUp {
			fmt.Fprintf(w, "%s is held up by share %d (%s): %s\n", g.Name, h.Shard, dash(h.Owner), h.Reason)
		}
	}
	for _, label := range resp.Without {
		fmt.Fprintf(w, "controller %s does not keep groups: limits do not bind it\n", label)
	}
	return nil
}

func amount(a quota.Amount) string {
	if a.GPUs == 0 {
		return fmt.Sprintf("%g CPUs", a.CPUs)
	}
	return fmt.Sprintf("%g CPUs, %g GPUs", a.CPUs, a.GPUs)
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
