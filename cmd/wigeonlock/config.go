package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/wigeonlock/wigeonlock/draft"
	"github.com/wigeonlock/wigeonlock/findings"
	"github.com/wigeonlock/wigeonlock/platform"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check configurations of the users' platform",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a configuration before it is sent, and print what differs from the one in force",
			ArgsUsage: "FILE",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "against", Usage: "`FILE` with the configuration in force"}, formatFlag(),
			},
			Action: checkConfig,
		}},
	}
}

// checkConfig prints the differences as output and returns the findings as the error.
func checkConfig(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usage("config check needs one file")
	}
	asJSON, err := parseFormat(c)
	if err != nil {
		return err
	}
	var list findings.List
	next, err := readDraft(c.Args().First(), &list)
	if err != nil {
		return err
	}
	next.Check(&list)
	var changes []draft.Change
	if against := c.String("against"); against != "" {
		// The findings of what is in force are not those of the draft.
		inForce, err := readDraft(against, &findings.List{})
		if err != nil {
			return err
		}
		next.CheckSuccession(&list, inForce.Version)
		changes = draft.Compare(inForce, next)
	}
	if asJSON {
		if err := printJSON(c, configReport(list.Err(), changes)); err != nil {
			return err
		}
		return list.Err()
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(c.Root().Writer, change); err != nil {
			return err
		}
	}
	return list.Err()
}

func readDraft(file string, list *findings.List) (*draft.Draft, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return platform.DecodeDraft(file, data, list)
}

func configReport(err error, changes []draft.Change) any {
	report := struct {
		Findings []string       `json:"findings"`
		Changes  []draft.Change `json:"changes"`
	}{Findings: []string{}, Changes: changes}
	var problems *findings.Error
	if errors.As(err, &problems) {
		for _, f := range problems.Findings {
			report.Findings = append(report.Findings, f.String())
		}
	}
	return report
}
