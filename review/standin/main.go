//go:build review

// Command standin plays the scripted cases of the review: it starts hosts as processes, with the
// store and the workers of a small deployment, and judges what these and the clients have seen.
//
//	standin CASE FOLDER
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
	cases := map[string]func(*record, string, bool) int{"gang": playGang, "crashes": playCrashes, "silent": playSilent}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*record, string, bool) int, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	r := &record{file: file, began: time.Now()}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	r.write("trouble: %v", hasTrouble)
	code := run(r, dir, hasTrouble)
	r.write("exit %d", code)
	fmt.Printf("exit %d: %s\n", code, [...]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	return code
}
