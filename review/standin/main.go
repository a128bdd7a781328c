//go:build review

// Command standin plays the scripted cases of the review: it is the store, the workers and the clients
// of a small deployment, and judges what these have seen. review/play.sh starts it and the hosts.
//
//	standin CASE FOLDER DIR
//
// It writes record.txt to FOLDER, and to DIR the settings of the hosts and the file `ready`.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*record, string, bool) int{"gang": playGang, "crashes": playCrashes, "silent": playSilent, "withdrawn": playWithdrawn, "starved": playStarved, "blocked": playBlocked}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: standin CASE FOLDER DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*record, string, bool) int, folder, dir string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{file: file, began: time.Now()}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	r.write("trouble: %v", hasTrouble)
	// No case takes longer.
	limit := time.AfterFunc(110*time.Second, func() {
		r.write("not run: too long")
		os.Exit(exitNotRun)
	})
	defer limit.Stop()
	code := run(r, dir, hasTrouble)
	r.write("exit %d", code)
	fmt.Printf("exit %d: %s\n", code, [...]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	return code
}
