package command

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

var cmdVersion = &Command{
	Path:  []string{"version"},
	Short: "Print the program's version",
	New:   func(env *Env) flags.Commander { return &versionOptions{env: env} },
}

type versionOptions struct {
	env *Env
}

// Execute prints the version.
func (o *versionOptions) Execute([]string) error {
	_, _ = fmt.Fprintln(o.env.Stdout, "bulrushferry", o.env.Version)
	return nil
}
