package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/scripts/internal/testbed"
)

const (
	team         = "closing-desk"
	token        = "faults-token"
	sectionFile  = "examples/demo/closing-desk.jsonc"
	applyPause   = 100 * time.Millisecond
	applyTimeout = 60 * time.Second
)

// operator applies one change of the section after another. parsleyctl resends a
// change with the same order id until it gets a response.
type operator struct {
	bed          *testbed.Bed
	mu           sync.Mutex
	text         string
	stopped      atomic.Bool
	done         sync.WaitGroup
	accepted     int
	longestApply time.Duration
	failures     []string
}

func newOperator(bed *testbed.Bed) *operator { return &operator{bed: bed} }

// start applies the section, waits until its status is met and then applies
// changes in the background.
func (o *operator) start(ctx context.Context) error {
	text, err := os.ReadFile(sectionFile)
	if err != nil {
		return err
	}
	o.setText(string(text))
	if err := o.apply(ctx, 0); err != nil {
		return err
	}
	if _, err := o.bed.Ctl(ctx, token, "status", "-watch", team); err != nil {
		return err
	}
	o.done.Go(func() { o.loop(ctx) })
	return nil
}

func (o *operator) setText(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text = text
}

func (o *operator) getText() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text
}

// apply applies change n with revision n as its base.
func (o *operator) apply(ctx context.Context, n int) error {
	file := o.bed.Path("section.jsonc")
	if err := os.WriteFile(file, []byte(fmt.Sprintf("// change %d\n%s", n, o.getText())), 0o644); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	start := time.Now()
	_, err := o.bed.Ctl(ctx, token, "apply", "-base", fmt.Sprint(n), "-order", fmt.Sprintf("change-%d", n), file)
	o.longestApply = max(o.longestApply, time.Since(start))
	if err == nil {
		o.accepted++
	}
	return err
}

func (o *operator) loop(ctx context.Context) {
	for !o.stopped.Load() {
		if err := o.apply(ctx, o.accepted); err != nil {
			o.failures = append(o.failures, fmt.Sprintf("change %d: %v", o.accepted, err))
			return
		}
		time.Sleep(applyPause)
	}
}

// stop stops the changes and returns the longest time that applying one change
// took.
func (o *operator) stop() time.Duration {
	o.stopped.Store(true)
	o.done.Wait()
	return o.longestApply
}

// check returns the failures of the operator, and a violation if the section is
// not the one of the last accepted change.
func (o *operator) check(ctx context.Context) []string {
	out, err := o.bed.Ctl(ctx, token, "-json", "get", team)
	if err != nil {
		return append(o.failures, err.Error())
	}
	var section struct{ Text string }
	if err := json.Unmarshal([]byte(out), &section); err != nil {
		return append(o.failures, err.Error())
	}
	if want := fmt.Sprintf("// change %d\n", o.accepted-1); !strings.HasPrefix(section.Text, want) {
		return append(o.failures, fmt.Sprintf("the section is not the last accepted change: %d changes were accepted", o.accepted))
	}
	return o.failures
}
