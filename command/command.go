// Package command implements the program's commands, each in a file of its own.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
)

type (
	// Env is the environment in which a command runs.
	Env struct {
		Stdout  io.Writer
		Stderr  io.Writer
		Version string
	}

	// Command describes a command of the program.
	Command struct {
		// Path is the command's name, preceded by the group that it belongs to, if
		// any. The path of "rules apply" is {"rules", "apply"}.
		Path  []string
		Short string
		// New returns the command with default options.
		New func(env *Env) flags.Commander
	}
)

const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitUsage means that the command line or the input was invalid.
	ExitUsage = 2
)

var (
	errorSpace = errorx.NewNamespace("command")

	// errUsage marks invalid input. It leads to ExitUsage.
	errUsage = errorSpace.NewType("usage")
	// errFailed marks a failed operation. It leads to ExitFailure.
	errFailed = errorSpace.NewType("failed")

	// commands lists all commands in the order of the help text.
	commands = []*Command{
		cmdEntry,
		cmdSteer,
		cmdRulesCheck,
		cmdRulesDiff,
		cmdRulesApply,
		cmdRulesShow,
		cmdRulesHistory,
		cmdKeysIssue,
		cmdKeysWithdraw,
		cmdKeysList,
		cmdDrain,
		cmdStatus,
		cmdExplain,
		cmdReportBurn,
		cmdVersion,
	}

	// groupDescriptions describes the groups of commands by name.
	groupDescriptions = map[string]string{
		"rules":  "Manage the rules file",
		"keys":   "Manage the keys of workspaces",
		"report": "Report on the service",
	}
)

// Main runs the command named by the arguments and returns the exit code.
func Main(env *Env, args []string) int {
	parser := flags.NewNamedParser("bulrushferry", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Global traffic steering"
	if err := addCommands(parser, env); err != nil {
		_, _ = fmt.Fprintln(env.Stderr, "bulrushferry:", err)
		return ExitFailure
	}
	_, err := parser.ParseArgs(args)
	return reportError(env, err)
}

// addCommands adds all commands, and the groups that they belong to, to the parser.
func addCommands(parser *flags.Parser, env *Env) error {
	for _, c := range commands {
		parent := parser.Command
		for _, name := range c.Path[:len(c.Path)-1] {
			group := parent.Find(name)
			if group == nil {
				added, err := parent.AddCommand(name, groupDescriptions[name], groupDescriptions[name], &struct{}{})
				if err != nil {
					return err
				}
				group = added
			}
			parent = group
		}
		if _, err := parent.AddCommand(c.Path[len(c.Path)-1], c.Short, c.Short, c.New(env)); err != nil {
			return err
		}
	}
	return nil
}

// reportError prints an error or help text, if there is one, and returns the exit code.
func reportError(env *Env, err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(env.Stdout, flagsErr.Message)
		return ExitOK
	case errors.As(err, &flagsErr), errorx.IsOfType(err, errUsage):
		_, _ = fmt.Fprintln(env.Stderr, "bulrushferry:", errorText(err))
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(env.Stderr, "bulrushferry:", errorText(err))
		return ExitFailure
	}
}

// errorText returns an error's text without the name of this package's error type.
func errorText(err error) string {
	typed := errorx.Cast(err)
	if typed != nil && (typed.Type() == errUsage || typed.Type() == errFailed) {
		if typed.Cause() != nil {
			return typed.Message() + ": " + typed.Cause().Error()
		}
		return typed.Message()
	}
	return err.Error()
}
