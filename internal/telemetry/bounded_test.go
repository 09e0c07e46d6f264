package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestBoundedWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		w := NewBoundedWriter(blockedWriter{release}, 1<<30)
		start := time.Now()
		for range 10 * maxQueuedLines {
			if _, err := io.WriteString(w, "a line\n"); err != nil {
				t.Fatal(err)
			}
		}
		if waited := time.Since(start); waited != 0 {
			t.Errorf("Write blocked for %v while the underlying writer was blocked", waited)
		}
		if w.resetDropped() == 0 {
			t.Error("lines that found the queue full were not counted as dropped")
		}
		close(release)
		w.Close(time.Second)
	})
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func TestBoundedWriterEnforcesItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out lockedBuffer
		w := NewBoundedWriter(&out, 100)
		line := strings.Repeat("x", 49) + "\n"
		const seconds = 20
		for range seconds * 50 {
			if _, err := io.WriteString(w, line); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.Close(time.Second)
		got := strings.Count(out.String(), line)
		maxLines := int((seconds + burstDuration.Seconds()) * 100 / 50)
		if got > maxLines || got < maxLines-2 {
			t.Errorf("%d lines written, the rate allows %d", got, maxLines)
		}
		if !strings.Contains(out.String(), `msg="log lines dropped"`) {
			t.Error("the log does not report the dropped lines")
		}
	})
}
