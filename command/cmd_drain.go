package command

import (
	"fmt"
	"strings"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/jessevdk/go-flags"
)

var cmdDrain = &Command{
	Path:  []string{"drain"},
	Short: "Add or lift a drain rule for a backend server or an entry instance",
	New:   func(env *Env) flags.Commander { return &drainOptions{env: env} },
}

type drainOptions struct {
	env *Env
	clientOptions
	Who           string `long:"who" env:"USER" default:"unknown" description:"who asked for the drain"`
	Why           string `long:"why" default:"planned work" description:"reason for the drain"`
	BackendServer string `long:"backend-server" description:"backend server to drain"`
	Instance      string `long:"instance" description:"entry instance to drain"`
	Lift          bool   `long:"lift" description:"lift the drain instead"`
	Args          struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute adds the drain rule to the current rules, or removes it from them, and
// applies the result.
func (o *drainOptions) Execute([]string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	state, err := client.State()
	if err != nil {
		return errFailed.Wrap(err, "reading the current rules")
	}
	text, err := o.editRules(state.GetRulesText())
	if err != nil {
		return err
	}
	return submitChange(o.env, client, &wire.ChangeRequest{
		Who:                   o.Who,
		ExpectedRulesRevision: state.GetRulesRevision(),
		Change:                &wire.ChangeRequest_RulesText{RulesText: text},
	})
}

// editRules returns the rules text with the drain rule added or removed.
func (o *drainOptions) editRules(text string) (string, error) {
	if !o.Lift {
		return text + o.ruleLine(), nil
	}
	var kept []string
	for _, line := range strings.SplitAfter(text, "\n") {
		words := strings.Fields(line)
		if len(words) < 2 || words[0] != "drain" || words[1] != o.Args.Name {
			kept = append(kept, line)
		}
	}
	if len(kept) == len(strings.SplitAfter(text, "\n")) {
		return "", errUsage.New("there is no drain rule %q", o.Args.Name)
	}
	return strings.Join(kept, ""), nil
}

// ruleLine returns the drain rule. If both a backend server and an instance are given, it
// names the backend server.
func (o *drainOptions) ruleLine() string {
	target := "instance=" + o.Instance
	if o.BackendServer != "" {
		target = "backend_server=" + o.BackendServer
	}
	return fmt.Sprintf("drain %s %s # asked by %s: %s\n", o.Args.Name, target, o.Who, o.Why)
}
