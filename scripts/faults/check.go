package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"parsleyramp/internal/standin"
)

// fetchJSON decodes the JSON response of a stand-in into the value.
func fetchJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// checkEndpoints compares the responses that clients received with the runs that
// the stand-ins counted, and returns the violations.
func (s *system) checkEndpoints(ctx context.Context) []string {
	runs := map[string]int{}
	var out []string
	for _, n := range s.bed.Services {
		counts := map[string]int{}
		if err := fetchJSON(ctx, "http://"+n.Address+"/standin/runs", &counts); err != nil {
			out = append(out, err.Error())
		}
		for k, v := range counts {
			runs[k] += v
		}
	}
	for body, p := range s.clients.payouts {
		n := runs["POST "+payoutPath+" "+body]
		switch {
		case n > 1:
			out = append(out, fmt.Sprintf("a non-idempotent payout ran %d times", n))
		case n == 0 && p.succeeded:
			out = append(out, "a payout got response 200 but never ran")
		case n > 0 && !p.succeeded && !p.mayHaveRun:
			out = append(out, "a payout ran although every response reported that it did not run")
		}
	}
	for _, n := range s.bed.Engines {
		var c standin.EngineCounts
		if err := fetchJSON(ctx, "http://"+n.Address+"/standin/counts", &c); err != nil {
			continue
		}
		if c.Overcommits > 0 {
			out = append(out, fmt.Sprintf("engine %s: memory overcommitted %d times", n.ID, c.Overcommits))
		}
		if c.UnloadedBusy > 0 {
			out = append(out, fmt.Sprintf("engine %s: %d residents unloaded while in use", n.ID, c.UnloadedBusy))
		}
	}
	return out
}
