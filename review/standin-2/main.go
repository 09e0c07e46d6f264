// Command standin-2 plays the cases of the second review: it starts the system's programs as processes, with small
// stand-ins for clients, servers, the operator and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// maxCaseTime is when a case that hangs is given up.
const maxCaseTime = 110 * time.Second

// reviewCase plays one case. It returns whether the rule was broken.
type reviewCase func(s *system, trouble bool) (broken bool, err error)

// plan is a case with what is started before it.
type plan struct {
	gateways int
	add      func(*system) error
	play     reviewCase
}

var plans = map[string]plan{
	"malformed-model": {gateways: 2, add: addServers, play: playMalformedModel},
	"odd-entry":       {gateways: 2, add: addServers, play: playOddEntry},
	"successors":      {gateways: 1, add: addServers, play: playSuccessors},
	"invalid-config":  {gateways: 1, add: addServers, play: playInvalidConfig},
}

func main() {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target", "folder with the programs")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the temporary folder")
	flag.Parse()
	os.Exit(run(*name, *bin, *out, *keep))
}

func run(name, bin, out string, keep bool) int {
	p, ok := plans[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		return exitCannot
	}
	r, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	if keep {
		fmt.Println(dir)
	} else {
		defer os.RemoveAll(dir)
	}
	s, err := startSystem(dir, bin, r, p.gateways, p.add)
	defer s.stop()
	if err == nil {
		err = s.awaitReady(documentText)
	}
	if err != nil {
		r.conclude("the case could not run: %v", err)
		return exitCannot
	}
	return finish(s, p, os.Getenv("TROUBLE") != "0")
}

// finish plays the case, for maxCaseTime at most.
func finish(s *system, p plan, trouble bool) int {
	result := make(chan int, 1)
	go func() {
		broken, err := p.play(s, trouble)
		switch {
		case err != nil:
			s.record.conclude("the case could not run: %v", err)
			result <- exitCannot
		case broken:
			result <- exitBroken
		default:
			result <- exitHeld
		}
	}()
	select {
	case code := <-result:
		return code
	case <-time.After(maxCaseTime - s.record.now()):
		s.record.conclude("the case did not end in time")
		return exitCannot
	}
}

// addServers adds three servers of the ledger, two of the archive and two model engines.
func addServers(s *system) error {
	for _, x := range []struct {
		service string
		count   int
		models  []string
	}{{"ledger", 3, nil}, {"archive", 2, nil}, {"scribe", 2, []string{"m0"}}} {
		for i, zone := range zones[:x.count] {
			id := fmt.Sprintf("i-%s-%d", x.service, i+1)
			started, err := startServer(s.host(serverHosts, 0), id, x.service, zone, x.models, s.record, s.arrivals)
			if err != nil {
				return err
			}
			s.list.add(started)
		}
	}
	return nil
}
