package scenario

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScripts runs the command-line scripts in testdata with the real program.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binDir+":"+env.Getenv("PATH"))
			return nil
		},
	})
}
