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

// newChangeID returns a random id for a change. The id makes the change idempotent.
func newChangeID() string {
	raw := make([]byte, changeIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// submitChange submits a change and prints the revision at which it was accepted, or the
// faults that were found in it.
func submitChange(env *Env, client *operator.Client, request *wire.ChangeRequest) error {
	request.Id = newChangeID()
	result, err := client.SubmitChange(request)
	if err != nil {
		return errFailed.Wrap(err, "submitting the change failed, but it may have been stored")
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
		return errFailed.New("the change was not accepted: %s; not confirmed by %s", result.GetError(), strings.Join(result.GetUnreached(), ", "))
	default:
		return errFailed.New("the change was not accepted: %s", result.GetError())
	}
}
