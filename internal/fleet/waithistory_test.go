package fleet

import (
	"testing"
	"time"
)

func TestWaitsThatDoNotHelpAreNotBegun(t *testing.T) {
	w := NewWaitHistory()
	now := time.Second
	if !w.Worthwhile("m", now) {
		t.Error("nothing is known yet, so waiting is worth a try")
	}
	for range 4 {
		w.Record("m", false, now)
	}
	if w.Worthwhile("m", now) {
		t.Error("four waits in a row came to nothing")
	}
	if !w.Worthwhile("other", now) {
		t.Error("waits for another model say nothing of this one")
	}
	if !w.Worthwhile("m", now+3*waitHalfLife) {
		t.Error("waiting is not tried again")
	}
	for range 3 {
		w.Record("m", true, now)
	}
	if !w.Worthwhile("m", now) {
		t.Error("three waits in a row ended with a place")
	}
}
