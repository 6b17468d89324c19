package command

import (
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/jessevdk/go-flags"
)

var cmdRulesApply = &Command{
	Path:  []string{"rules", "apply"},
	Short: "Apply a rules file as a whole, or reject it",
	New:   func(env *Env) flags.Commander { return &rulesApplyOptions{env: env, Revision: -1} },
}

type rulesApplyOptions struct {
	env *Env
	clientOptions
	Who      string   `long:"who" env:"USER" default:"unknown" description:"who applies the rules"`
	Dead     []string `long:"dead" value-name:"INSTANCE" description:"instance known to be dead; may be repeated"`
	Revision int64    `long:"revision" description:"rules revision that the file is based on; by default the current one"`
	rulesFileArgument
}

// Execute checks the file and applies it if the rules have not changed since the given
// revision.
func (o *rulesApplyOptions) Execute([]string) error {
	text, _, err := readRules(o.env, o.Args.File)
	if err != nil {
		return err
	}
	client, err := o.newClient()
	if err != nil {
		return err
	}
	revision := o.Revision
	if revision < 0 {
		state, err := client.State()
		if err != nil {
			return errFailed.Wrap(err, "reading the current rules revision")
		}
		revision = state.GetRulesRevision()
	}
	return submitChange(o.env, client, &wire.ChangeRequest{
		Who:                   o.Who,
		DeadInstances:         o.Dead,
		ExpectedRulesRevision: revision,
		Change:                &wire.ChangeRequest_RulesText{RulesText: text},
	})
}
