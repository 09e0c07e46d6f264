package testbed

import (
	"os"
	"strings"
	"testing"
)

func TestParseAndSumMetrics(t *testing.T) {
	text := `# TYPE parsleyramp_sent_bytes_total counter
parsleyramp_sent_bytes_total{peer="system",side="dialed"} 100
parsleyramp_sent_bytes_total{peer="system",side="accepted"} 20
parsleyramp_sent_bytes_total{peer="endpoint",side="dialed"} 3
parsleyramp_raft_leading 1
go_gc_duration_seconds{quantile="0"} 1.5e-05
`
	m, err := parseMetrics(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	u := Usage{Metrics: m}
	if got := u.Sum("parsleyramp_sent_bytes_total", `"system"`); got != 120 {
		t.Errorf("sum of bytes sent to peer system is %v, want 120", got)
	}
	if m["parsleyramp_raft_leading"] != 1 || m[`go_gc_duration_seconds{quantile="0"}`] != 1.5e-05 {
		t.Errorf("parsed metrics %v, want parsleyramp_raft_leading 1 and go_gc_duration_seconds 1.5e-05", m)
	}
}

func TestMeasureOwnProcess(t *testing.T) {
	if _, err := processorTime(os.Getpid()); err != nil {
		t.Error(err)
	}
	memory, err := memoryUsage(os.Getpid())
	if err != nil || memory["VmRSS"] <= 0 || memory["RssAnon"] <= 0 || memory["RssAnon"] > memory["VmRSS"] {
		t.Errorf("memory usage %v, error %v; want 0 < RssAnon <= VmRSS", memory, err)
	}
}
