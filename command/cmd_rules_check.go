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

// fileArgument is the rules file that a command works on.
type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

type rulesCheckOptions struct {
	env *Env
	fileArgument
}

// Execute checks the file and lists all its faults.
func (o *rulesCheckOptions) Execute([]string) error {
	_, parsed, err := readRules(o.env, o.Args.File)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.env.Stdout, "%s: %d services, %d routes, %d workspaces, %d regions\n", o.Args.File,
		len(parsed.GetServices()), len(parsed.GetRoutes()), len(parsed.GetWorkspaces()), len(parsed.GetRegions()))
	return nil
}

// readRules reads and checks a rules file. Every fault goes to the standard
// error with its file, line, column and field.
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
