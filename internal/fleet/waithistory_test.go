package fleet

import (
	"testing"
	"time"
)

func TestWorthwhileFollowsRecentWaits(t *testing.T) {
	w := NewWaitHistory()
	now := time.Second
	if !w.Worthwhile("m", now) {
		t.Error("waiting not worthwhile without any record")
	}
	for range 4 {
		w.Record("m", false, now)
	}
	if w.Worthwhile("m", now) {
		t.Error("waiting worthwhile after four failed waits")
	}
	if !w.Worthwhile("other", now) {
		t.Error("waiting not worthwhile after failed waits for another model")
	}
	if !w.Worthwhile("m", now+3*waitHalfLife) {
		t.Error("waiting not worthwhile three half-lives after the failed waits")
	}
	for range 3 {
		w.Record("m", true, now)
	}
	if !w.Worthwhile("m", now) {
		t.Error("waiting not worthwhile after three successful waits")
	}
}
