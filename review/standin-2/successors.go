package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

const (
	// catchUpTime is how long a new control replica counts as lost, and recoverTime how long the system may take to
	// serve again.
	catchUpTime = 4 * time.Second
	recoverTime = 12 * time.Second
	// successorTime is how long the successors have run when those before them are removed.
	successorTime = 3 * catchUpTime
	// removalGap is the time between the removals of the two old replicas.
	removalGap = 10 * time.Second
	// readTime is how long the configuration is read at the end.
	readTime = 3*recoverTime + catchUpTime
)

// playSuccessors replaces two of three control replicas: their successors run for successorTime, then the two are removed
// without SIGTERM, removalGap apart. Right after the second removal a configuration is acknowledged, and the third replica
// loses its disk. It is broken if the configuration is never read back again. Without trouble no disk is lost.
func playSuccessors(s *system, trouble bool) (bool, error) {
	for range 2 {
		if err := s.addControl(); err != nil {
			return false, err
		}
	}
	time.Sleep(successorTime)
	s.kill(s.controls[0])
	s.record.add("%s is removed; both successors have run for %v", s.controls[0].name, successorTime)
	time.Sleep(removalGap)
	s.kill(s.controls[1])
	s.record.add("%s is removed; both successors have run for %v", s.controls[1].name, successorTime+removalGap)
	document, err := changed(2, func(map[string]any) {})
	if err != nil {
		return false, err
	}
	if !s.putUntil(document, 10*time.Second) {
		return false, errors.New("the change was not acknowledged")
	}
	if trouble {
		if err := s.loseDisk(2, time.Second); err != nil {
			return false, err
		}
	}
	return !s.readUntil(`"version":2`, readTime), nil
}

// putUntil sends a configuration again and again until it is acknowledged.
func (s *system) putUntil(document []byte, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := s.put(document); status == http.StatusOK {
			s.record.add("the change is acknowledged")
			return true
		}
	}
	return false
}

// readUntil reads the configuration again and again until it holds the text. It returns false if that never comes.
func (s *system) readUntil(text string, limit time.Duration) bool {
	began, reads := time.Now(), 0
	for end := began.Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		reads++
		if status, body := s.get(); status == http.StatusOK {
			s.record.conclude("read %d, after %.1f s: answered 200, as acknowledged: %v", reads, time.Since(began).Seconds(), strings.Contains(body, text))
			return strings.Contains(body, text)
		}
	}
	s.record.conclude("%d reads at all nodes in %v, none answered", reads, limit)
	return false
}
