package command

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/bulrushferry/bulrushferry/operator"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
)

const changeIDBytes = 12

// changeID returns an id that lets a change be sent again without effect.
func changeID() string {
	raw := make([]byte, changeIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// sendChange sends a change and reports what became of it.
func sendChange(env *Env, client *operator.Client, request *wire.ChangeRequest) error {
	request.Id = changeID()
	result, err := client.Change(request)
	if err != nil {
		return errFailed.Wrap(err, "the change was not accepted, whether it is stored is not known")
	}
	for _, fault := range result.GetFaults() {
		_, _ = fmt.Fprintln(env.Stderr, rules.FormatFault(fault))
	}
	switch {
	case result.GetAccepted():
		_, _ = fmt.Fprintf(env.Stdout, "accepted as revision %d\n", result.GetRevision())
		return nil
	case len(result.GetFaults()) > 0:
		return errUsage.New("%s", result.GetError())
	case len(result.GetUnreached()) > 0:
		return errFailed.New("not accepted: %s; not reached: %s", result.GetError(), strings.Join(result.GetUnreached(), ", "))
	default:
		return errFailed.New("not accepted: %s", result.GetError())
	}
}
