// Command bulrushferry runs entry instances, which route callers' requests to backend
// servers, and is the command line for their operators.
package main

import (
	"os"

	"github.com/bulrushferry/bulrushferry/command"
)

// version is set by the linker.
var version = "development"

func main() {
	env := &command.Env{Stdout: os.Stdout, Stderr: os.Stderr, Version: version}
	os.Exit(command.Main(env, os.Args[1:]))
}
