// Command rig plays the cases of this review that are no days of the bench. It starts processes of
// baobabd with the command of the deploy file, on loopback addresses, and stands in for the
// platform's store, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig CASE RECORD")
		os.Exit(notRun)
	}
	cases := map[string]func(*record) (int, error){"limit": limit, "fatal": fatal, "readd": readd, "silent": silent}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(notRun)
	}
	code, err := play(rec)
	if err != nil {
		code = notRun
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
	}
	rec.close()
	os.Exit(code)
}
