package main

import (
	"context"
	"fmt"
	"strings"

	"parsleyramp/scripts/internal/testbed"
)

const (
	team  = "closing-desk"
	token = "demo-token"
)

// demo holds the processes and the state of the client.
type demo struct {
	bed *testbed.Bed
	// entryAddress is the entry that the client uses, from the list that the
	// system returned.
	entryAddress string
}

func options() testbed.Options {
	return testbed.Options{
		Size:             testbed.Size{Domains: 3, Controls: 3, Entries: 3, Engines: 4, Services: 1},
		ProcessPerEngine: true,
		EntrySettings:    map[string]any{"keep_addresses": "1s"},
		TeamTokens:       map[string]string{team: token},
	}
}

func (d *demo) startStandins(ctx context.Context) (string, error) {
	return fmt.Sprintf("%d engines, %d service, weight store, live list", len(d.bed.Engines), len(d.bed.Services)), d.bed.StartStandins(ctx)
}

func (d *demo) startSystem(ctx context.Context) (string, error) {
	return fmt.Sprintf("%d control, %d entries", len(d.bed.Controls), len(d.bed.Entries)), d.bed.StartSystem(ctx)
}

// ctl runs parsleyctl and returns its output as one line.
func (d *demo) ctl(ctx context.Context, args ...string) (string, error) {
	out, err := d.bed.Ctl(ctx, token, args...)
	return strings.ReplaceAll(out, "\n", "; "), err
}

func (d *demo) stopAll(context.Context) (string, error) {
	n, err := d.bed.StopAll()
	return fmt.Sprintf("%d processes, exit 0 each", n), err
}
