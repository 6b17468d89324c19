package command

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/bulrushferry/bulrushferry/caller"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/jessevdk/go-flags"
)

const (
	keyBytes  = 32
	keyPrefix = "bfk_"
)

var cmdKeysIssue = &Command{
	Path:  []string{"keys", "issue"},
	Short: "Issue a key to a workspace and print it once",
	New:   func(env *Env) flags.Commander { return &keysIssueOptions{env: env} },
}

type keysIssueOptions struct {
	env *Env
	clientOptions
	Who       string `long:"who" env:"USER" default:"unknown" description:"who issues the key"`
	ID        string `long:"id" required:"yes" description:"name of the key"`
	Workspace string `long:"workspace" required:"yes" description:"workspace that the key is for"`
}

// Execute generates a key, stores its hash in the fleet state and prints the key. Only the
// key is written to the standard output, so that it can be captured.
func (o *keysIssueOptions) Execute([]string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	hash := caller.HashKey([]byte(key))
	stderrEnv := &Env{Stdout: o.env.Stderr, Stderr: o.env.Stderr}
	err = submitChange(stderrEnv, client, &wire.ChangeRequest{
		Who: o.Who,
		Change: &wire.ChangeRequest_IssueKey{IssueKey: &wire.Key{
			Id:        o.ID,
			Hash:      hash[:],
			Workspace: o.Workspace,
		}},
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(o.env.Stdout, key)
	return nil
}

func newKey() (string, error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", errFailed.Wrap(err, "making a key")
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(raw), nil
}
