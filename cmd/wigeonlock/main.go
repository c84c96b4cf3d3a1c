// Command wigeonlock routes callers' requests across regions, availability zones
// and backend servers.
//
// # Usage
//
//	wigeonlock --help
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/wigeonlock/wigeonlock/findings"
)

// Exit codes.
const (
	_exitFailed = 1
	_exitUsage  = 2
)

// _version is set by the linker in release builds.
var _version = "development"

// usageError reports an invalid command line; the exit code is then _exitUsage.
type usageError struct {
	message string
}

// Error returns the message unchanged.
func (e *usageError) Error() string { return e.message }

func usage(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	var problems *findings.Error
	if errors.As(err, &problems) {
		_, _ = fmt.Fprintln(stderr, problems.Error())
		return _exitUsage
	}
	_, _ = fmt.Fprintln(stderr, "wigeonlock: "+err.Error())
	var wrong *usageError
	if errors.As(err, &wrong) {
		return _exitUsage
	}
	return _exitFailed
}

func rootCommand(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:      "wigeonlock",
		Usage:     "routes requests across regions, availability zones and backend servers",
		Version:   _version,
		Writer:    stdout,
		ErrWriter: stderr,
		// run derives the exit code from the error.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         noCommand,
		Commands: []*cli.Command{
			serveCommand(), entryCommand(), explainCommand(), settingsCommand(), listsCommand(), statusCommand(), standinCommand(),
			demoCommand(), configCommand(), measureCommand(), versionCommand(),
		},
	}
	onUsageError(root)
	return root
}

// onUsageError makes c and its sub-commands return every usage error as a
// usageError.
func onUsageError(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usage("%s", err.Error())
	}
	if c.Action == nil {
		c.Action = noCommand
	}
	for _, sub := range c.Commands {
		onUsageError(sub)
	}
}

// noCommand is the action of a command that only groups sub-commands: it prints the
// help, or fails if the sub-command is unknown.
func noCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usage("unknown command %q; see %s --help", c.Args().First(), c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, _version)
			return err
		},
	}
}

// formatFlag returns the flag that selects the format of standard output.
func formatFlag() cli.Flag {
	return &cli.StringFlag{Name: "format", Value: "text", Usage: "output format: text or json"}
}

func parseFormat(c *cli.Command) (json bool, err error) {
	switch f := c.String("format"); f {
	case "json":
		return true, nil
	case "text":
		return false, nil
	default:
		return false, usage("invalid format %q: must be text or json", f)
	}
}

func printJSON(c *cli.Command, v any) error {
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// progressTo returns a function that prints progress messages to w if w is a
// terminal, and discards them otherwise.
func progressTo(w io.Writer) func(string) {
	f, ok := w.(*os.File)
	if !ok {
		return func(string) {}
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(string) {}
	}
	return func(message string) { _, _ = fmt.Fprintln(w, message) }
}
