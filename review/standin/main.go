// Command standin plays the cases of the review against the project's own programs.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by their names. Each case adds itself.
var cases = make(map[string]func(*world) int)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case. It returns 2 if the case could not run.
func play(one func(*world) int, recordFile string) (status int) {
	var w *world
	defer func() {
		if w != nil {
			defer w.close()
		}
		if reason := recover(); reason != nil {
			known, ok := reason.(failure)
			if !ok {
				panic(reason)
			}
			fmt.Fprintln(os.Stderr, "the case could not run:", known.error)
			status = 2
		}
	}()
	w = newWorld(recordFile)
	return one(w)
}
