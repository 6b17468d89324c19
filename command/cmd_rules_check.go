package command

import (
	"fmt"
	"os"

	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/jessevdk/go-flags"
)

var cmdRulesCheck = &Command{
	Path:  []string{"rules", "check"},
	Short: "Check a rules file without applying it",
	New:   func(env *Env) flags.Commander { return &rulesCheckOptions{env: env} },
}

type (
	// rulesFileArgument is the positional argument that names a rules file.
	rulesFileArgument struct {
		Args struct {
			File string `positional-arg-name:"FILE" required:"yes"`
		} `positional-args:"yes"`
	}

	rulesCheckOptions struct {
		env *Env
		rulesFileArgument
	}
)

// Execute checks the file and prints a summary of the rules or all faults.
func (o *rulesCheckOptions) Execute([]string) error {
	_, parsed, err := readRules(o.env, o.Args.File)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.env.Stdout, "%s: %d services, %d routes, %d workspaces, %d regions\n", o.Args.File,
		len(parsed.GetServices()), len(parsed.GetRoutes()), len(parsed.GetWorkspaces()), len(parsed.GetRegions()))
	return nil
}

// readRules reads and parses a rules file. It prints every fault to the standard error
// with its file, line, column and field.
func readRules(env *Env, file string) (string, *wire.Rules, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, errUsage.Wrap(err, "reading the rules file")
	}
	parsed, faults := rules.Parse(text)
	if len(faults) == 0 {
		return string(text), parsed, nil
	}
	for _, fault := range faults {
		_, _ = fmt.Fprintf(env.Stderr, "%s:%s\n", file, rules.FormatFault(fault))
	}
	return "", nil, errUsage.New("%s has %d faults", file, len(faults))
}
