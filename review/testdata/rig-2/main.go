// Command rig runs one case of the review: controllers as processes of their own, everything else as
// stand-ins that follow the protocol page.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
)

// scenario is one case. It returns the rules that it judges by.
type scenario func(w *world, trouble bool) (rules []string)

var (
	scenarios = map[string]scenario{}
	makers    = map[string]func(dir, run, record string, seed uint64) *world{}
)

func main() {
	name := flag.String("case", "", "the case to run")
	run := flag.String("run", "target/garnethitch --config", "the controllers' command")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of random choices")
	logLevel := flag.String("log", "info", "LOG_LEVEL of the controllers")
	keep := flag.String("keep", "", "keep settings and logs in this folder")
	flag.Parse()
	play, maker := scenarios[*name], makers[*name]
	if play == nil || maker == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	dir := *keep
	if dir == "" {
		dir = tempDir("")
	}
	w := maker(dir, *run, *record, *seed)
	w.logLevel = *logLevel
	current.Store(w)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cannotRunIn(w, "interrupted")
	}()
	go func() {
		for !w.over() {
			time.Sleep(200 * time.Millisecond)
			w.check.sweep()
		}
	}()
	rules := play(w, os.Getenv("TROUBLE") != "0")
	w.stop()
	if *keep == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(w.verdict(rules))
}

// verdict prints the result of a case.
func (w *world) verdict(rules []string) int {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	sort.Strings(w.check.found)
	for i, line := range w.check.found {
		if i < 20 {
			fmt.Println(line)
		}
	}
	for _, rule := range rules {
		if w.check.byRule[rule] > 0 {
			fmt.Printf("%s was broken, %d times (%d starts)\n", rule, w.check.byRule[rule], w.check.starts)
			return exitBroken
		}
	}
	fmt.Printf("%v held (%d starts)\n", rules, w.check.starts)
	return exitHeld
}
