package main

import (
	"fmt"
	"os"
	"time"
)

// maxRunTime is the longest that a case may run.
const maxRunTime = 118 * time.Second

// cases are the cases by name.
var cases = map[string]func(w *world, trouble bool){
	"pipeline":   pipeline,
	"avoided":    avoided,
	"small-task": smallTask,
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD DIR RUN")
		os.Exit(cannotRun)
	}
	w := newWorld(os.Args[2], os.Args[3], os.Args[4])
	time.AfterFunc(maxRunTime, func() { w.fail("no verdict within %v", maxRunTime) })
	cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
}
