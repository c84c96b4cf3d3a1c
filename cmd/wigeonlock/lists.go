package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/user"
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/wigeonlock/wigeonlock/discovery"
	discoveryhttp "github.com/wigeonlock/wigeonlock/discovery/http"
	"github.com/wigeonlock/wigeonlock/findings"
	"github.com/wigeonlock/wigeonlock/instance"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/settings"
	storehttp "github.com/wigeonlock/wigeonlock/store/http"
)

const (
	_applyTimeout = 30 * time.Second
	_pollInterval = 20 * time.Millisecond
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check the settings of entry instances",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check settings files and print all findings",
			ArgsUsage: "FILE...",
			Action:    checkSettings,
		}},
	}
}

func checkSettings(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return usage("settings check needs at least one file")
	}
	var all findings.List
	for _, file := range c.Args().Slice() {
		_, err := settings.Load(file)
		var problems *findings.Error
		switch {
		case errors.As(err, &problems):
			for _, f := range problems.Findings {
				all.Add(f)
			}
		case err != nil:
			return err
		}
	}
	return all.Err()
}

func listsCommand() *cli.Command {
	files := []cli.Flag{
		&cli.StringFlag{Name: "plans", Required: true, Usage: "`FILE` with the list of plans"},
		&cli.StringFlag{Name: "allowances", Required: true, Usage: "`FILE` with the list of allowances of each plan"},
	}
	platformFlag := &cli.StringFlag{Name: "platform", Required: true, Usage: "`URL` of the platform"}
	return &cli.Command{
		Name:  "lists",
		Usage: "check, apply and print the lists of plans and allowances",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check both lists and print all findings", Flags: files, Action: checkLists},
			{
				Name: "apply", Usage: "store both lists as the next version",
				Flags: append(append([]cli.Flag{}, files...), platformFlag, formatFlag(),
					&cli.Uint64Flag{Name: "base", Usage: "fail unless `VERSION` is the current version"},
					&cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` until the version is active on all instances"}),
				Action: applyLists,
			},
			{
				Name: "show", Usage: "print the lists stored on the platform",
				Flags: []cli.Flag{platformFlag}, Action: showLists,
			},
			{
				Name: "history", Usage: "print the last edits, newest first",
				Flags: []cli.Flag{platformFlag, formatFlag()}, Action: listHistory,
			},
		},
	}
}

func loadLists(c *cli.Command) (plan.Lists, error) {
	return plan.Load(c.String("plans"), c.String("allowances"))
}

func checkLists(_ context.Context, c *cli.Command) error {
	_, err := loadLists(c)
	return err
}

// applied is the output of the command lists apply.
type applied struct {
	Version     uint64                `json:"version"`
	EditID      string                `json:"editId"`
	Active      []activeInstance      `json:"inForce,omitempty"`
	Unconfirmed []unconfirmedInstance `json:"notInForce,omitempty"`
	Theirs      *rollout.Edit         `json:"theirs,omitempty"`
	Changes     *[]plan.Change        `json:"changes,omitempty"`
}

type activeInstance struct {
	Instance string `json:"instance"`
	AfterMs  int64  `json:"afterMs"`
}

type unconfirmedInstance struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
}

func applyLists(ctx context.Context, c *cli.Command) error {
	asJSON, err := parseFormat(c)
	if err != nil {
		return err
	}
	lists, err := loadLists(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, _applyTimeout)
	defer cancel()
	editor := &rollout.Editor{Store: storehttp.New(c.String("platform")), Name: editorName(), Base: c.Uint64("base")}
	head, err := editor.Apply(ctx, lists)
	if err != nil {
		return reportConflict(c, asJSON, err)
	}
	result := applied{Version: head.Version, EditID: head.ID}
	if wait := c.Duration("wait"); wait > 0 {
		if err = waitActive(ctx, c.String("platform"), head.Version, wait, &result); err != nil {
			return err
		}
	}
	if asJSON {
		err = printJSON(c, result)
	} else {
		err = printApplied(c, result)
	}
	if err == nil && len(result.Unconfirmed) > 0 {
		return errors.Errorf("version %d is accepted, but not confirmed as active on %d instances",
			result.Version, len(result.Unconfirmed))
	}
	return err
}

// reportConflict prints what the conflicting edit changed, and returns err.
func reportConflict(c *cli.Command, asJSON bool, err error) error {
	var conflict *rollout.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if asJSON {
		_ = printJSON(c, applied{Theirs: &conflict.Theirs.Edit, Changes: &conflict.Changes})
		return err
	}
	for _, change := range conflict.Changes {
		_, _ = fmt.Fprintf(c.Root().Writer, "against version %d this edit would have: %s\n", conflict.Theirs.Version, change)
	}
	return err
}

func printApplied(c *cli.Command, a applied) error {
	w := c.Root().Writer
	if _, err := fmt.Fprintf(w, "version %d is accepted\n", a.Version); err != nil {
		return err
	}
	for _, i := range a.Active {
		if _, err := fmt.Fprintf(w, "in force on %s after %d ms\n", i.Instance, i.AfterMs); err != nil {
			return err
		}
	}
	for _, i := range a.Unconfirmed {
		if _, err := fmt.Fprintf(w, "not known to be in force on %s: %s\n", i.Instance, i.Reason); err != nil {
			return err
		}
	}
	return nil
}

// waitActive polls the listed instances until the version is active on all of them
// or wait has passed, and records the outcome in a. It fails if the instances cannot
// be listed.
func waitActive(ctx context.Context, url string, version uint64, wait time.Duration, a *applied) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	directory := &discoveryhttp.Directory{URL: url}
	records, err := directory.List(ctx)
	if err != nil {
		return errors.Wrap(err, "version is accepted, but the instances cannot be listed")
	}
	pending := make(map[string]string)
	for _, rec := range records {
		if rec.Kind == discovery.Entry && rec.State == discovery.Live {
			pending[rec.Name] = rec.Address
		}
	}
	for len(pending) > 0 {
		for name, address := range pending {
			if got, err := versionAt(ctx, address); err == nil && got >= version {
				a.Active = append(a.Active, activeInstance{name, time.Since(started).Milliseconds()})
				delete(pending, name)
			}
		}
		if !sleep(ctx, _pollInterval) {
			break
		}
	}
	for name := range pending {
		a.Unconfirmed = append(a.Unconfirmed, unconfirmedInstance{name, "it did not report the version in time"})
	}
	sort.Slice(a.Active, func(i, j int) bool { return a.Active[i].Instance < a.Active[j].Instance })
	sort.Slice(a.Unconfirmed, func(i, j int) bool { return a.Unconfirmed[i].Instance < a.Unconfirmed[j].Instance })
	return nil
}

// versionAt returns the version of the lists that is active on an entry instance.
func versionAt(ctx context.Context, address string) (uint64, error) {
	var answer struct {
		Version uint64 `json:"version"`
	}
	err := getJSON(ctx, "http://"+address+"/.wigeonlock/v1/lists", &answer)
	return answer.Version, err
}

func showLists(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, _applyTimeout)
	defer cancel()
	s := storehttp.New(c.String("platform"))
	head, _, err := rollout.ReadHead(ctx, s)
	if err != nil {
		return err
	}
	lists, err := rollout.ReadLists(ctx, s, head)
	if err != nil {
		return err
	}
	return printJSON(c, struct {
		Version uint64 `json:"version"`
		plan.Lists
	}{head.Version, lists})
}

func listHistory(ctx context.Context, c *cli.Command) error {
	asJSON, err := parseFormat(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, _applyTimeout)
	defer cancel()
	head, _, err := rollout.ReadHead(ctx, storehttp.New(c.String("platform")))
	if err != nil {
		return err
	}
	edits := append([]rollout.Edit{head.Edit}, head.History...)
	if asJSON {
		return printJSON(c, struct {
			Edits []rollout.Edit `json:"edits"`
		}{edits})
	}
	for _, e := range edits {
		at := time.UnixMilli(e.AtMs).UTC().Format(time.RFC3339)
		if _, err := fmt.Fprintf(c.Root().Writer, "version %d at %s by %s (%d parts replaced)\n",
			e.Version, at, e.Editor, len(e.Replaced)); err != nil {
			return err
		}
	}
	return nil
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the status of the entry instance that uses the given settings",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"}, formatFlag(),
		},
		Action: status,
	}
}

func status(ctx context.Context, c *cli.Command) error {
	asJSON, err := parseFormat(c)
	if err != nil {
		return err
	}
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	var st instance.Status
	if err = getJSON(ctx, "http://"+s.Admin.Address()+"/v1/status", &st); err != nil {
		return errors.Wrap(err, "read instance status")
	}
	if asJSON {
		return printJSON(c, st)
	}
	state := "ready"
	if !st.Ready {
		state = "not ready: " + st.Reason
	}
	w := c.Root().Writer
	_, err = fmt.Fprintf(w, "%s in %s is %s\nlists version %d, confirmed %d ms ago\n",
		st.Instance, st.Zone, state, st.ListsVersion, st.ConfirmAgeMs)
	for _, z := range st.Zones {
		if err == nil {
			_, err = fmt.Fprintf(w, "zone %s: %d live %v\n", z.Zone, len(z.Members), z.Members)
		}
	}
	for _, share := range st.Shares {
		if err == nil {
			_, err = fmt.Fprintf(w, "plan %s: %d of %d shift slots of this instance in use\n",
				share.Plan, share.InUse, share.Slots)
		}
	}
	return err
}

func getJSON(ctx context.Context, url string, into any) error {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func editorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// sleep waits for d and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
