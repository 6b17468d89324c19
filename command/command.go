// Package command holds the program's commands, one file each.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
)

type (
	// Env is what a command may use of its surroundings.
	Env struct {
		Stdout io.Writer
		Stderr io.Writer
		// Version is the version of the program.
		Version string
	}

	// Command is one command of the program.
	Command struct {
		// Path is the command's words, such as "rules apply".
		Path  []string
		Short string
		// New returns the command with its options at their defaults.
		New func(env *Env) flags.Commander
	}
)

const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailure means that the command could not do what was asked.
	ExitFailure = 1
	// ExitUsage means that the command line or the input was faulty.
	ExitUsage = 2
)

var (
	errorSpace = errorx.NewNamespace("command")

	// errUsage marks faulty input.
	errUsage = errorSpace.NewType("usage")
	// errFailed marks something that could not be done.
	errFailed = errorSpace.NewType("failed")

	// commands are all the commands, in the order of the help text.
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

	// groups describe the words that only hold other commands.
	groups = map[string]string{
		"rules":  "Work with the operators' rules file",
		"keys":   "Work with workspaces' keys",
		"report": "Report on the service",
	}
)

// Main runs the command named by the arguments and returns the exit code.
func Main(env *Env, args []string) int {
	parser := flags.NewNamedParser("bulrushferry", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Global traffic steering"
	if err := addAll(parser, env); err != nil {
		_, _ = fmt.Fprintln(env.Stderr, "bulrushferry:", err)
		return ExitFailure
	}
	_, err := parser.ParseArgs(args)
	return report(env, err)
}

func addAll(parser *flags.Parser, env *Env) error {
	for _, c := range commands {
		parent := parser.Command
		for _, word := range c.Path[:len(c.Path)-1] {
			group := parent.Find(word)
			if group == nil {
				added, err := parent.AddCommand(word, groups[word], groups[word], &struct{}{})
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

// report prints an error and returns the exit code that goes with it.
func report(env *Env, err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(env.Stdout, flagsErr.Message)
		return ExitOK
	case errors.As(err, &flagsErr), errorx.IsOfType(err, errUsage):
		_, _ = fmt.Fprintln(env.Stderr, "bulrushferry:", message(err))
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(env.Stderr, "bulrushferry:", message(err))
		return ExitFailure
	}
}

// message returns an error's text without the name of this layer's type.
func message(err error) string {
	typed := errorx.Cast(err)
	if typed != nil && (typed.Type() == errUsage || typed.Type() == errFailed) {
		if typed.Cause() != nil {
			return typed.Message() + ": " + typed.Cause().Error()
		}
		return typed.Message()
	}
	return err.Error()
}
