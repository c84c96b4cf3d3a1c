// Command wigeonlock steers callers' requests across regions, availability
// zones and backend servers.
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

// _version is set by the linker for releases.
var _version = "development"

// usageError is a command line that cannot be understood.
type usageError struct {
	message string
}

// Error returns the message.
func (e *usageError) Error() string { return e.message }

func usage(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// run runs one command and returns the exit code.
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
		Usage:     "steers requests across regions, availability zones and backend servers",
		Version:   _version,
		Writer:    stdout,
		ErrWriter: stderr,
		// Exit codes are decided in run.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         noCommand,
		Commands: []*cli.Command{
			serveCommand(), entryCommand(), explainCommand(), settingsCommand(), listsCommand(), statusCommand(), standinCommand(),
			demoCommand(), measureCommand(), versionCommand(),
		},
	}
	onUsageError(root)
	return root
}

// onUsageError makes every command report errors of usage alike.
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

// noCommand is the action of a command that only has sub-commands.
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

// formatFlag selects the format of standard output.
func formatFlag() cli.Flag {
	return &cli.StringFlag{Name: "format", Value: "text", Usage: "format of the output: text or json"}
}

func formatOf(c *cli.Command) (json bool, err error) {
	switch f := c.String("format"); f {
	case "json":
		return true, nil
	case "text":
		return false, nil
	default:
		return false, usage("format %q is not text or json", f)
	}
}

func printJSON(c *cli.Command, v any) error {
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// progressTo returns a function that prints progress when standard error is a
// terminal.
func progressTo(w io.Writer) func(string) {
	f, ok := w.(*os.File)
	if !ok {
		return func(string) {}
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(string) {}
	}
	return func(event string) { _, _ = fmt.Fprintln(w, event) }
}
