package testbed

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicksPerSecond is USER_HZ, the unit of the CPU times in /proc.
const clockTicksPerSecond = 100

// Usage is the resource usage and the metrics of a process at one time.
type Usage struct {
	At time.Time
	// CPU is the CPU time of the process since its start.
	CPU time.Duration
	// RSSBytes is the resident memory. AnonymousBytes is the part of it that no
	// file backs, which excludes the program text.
	RSSBytes       float64
	AnonymousBytes float64
	// Metrics holds the values of the metrics by name with labels.
	Metrics map[string]float64
}

// Sum returns the sum of the metrics whose name starts with the prefix and
// contains all parts.
func (u Usage) Sum(prefix string, parts ...string) float64 {
	var sum float64
next:
	for name, v := range u.Metrics {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		for _, p := range parts {
			if !strings.Contains(name, p) {
				continue next
			}
		}
		sum += v
	}
	return sum
}

// Measure reads the resource usage and the metrics of the node's process.
func Measure(n *Node) (Usage, error) {
	u := Usage{At: time.Now()}
	var err error
	if u.CPU, err = processorTime(n.Process.PID()); err != nil {
		return u, err
	}
	memory, err := memoryUsage(n.Process.PID())
	if err != nil {
		return u, err
	}
	u.RSSBytes, u.AnonymousBytes = memory["VmRSS"], memory["RssAnon"]
	u.Metrics, err = scrape(n.Address)
	return u, err
}

// processorTime reads fields 14 and 15, utime and stime, of proc(5) stat.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0, fmt.Errorf("unexpected format of /proc/%d/stat", pid)
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}

// memoryUsage reads the sizes in proc(5) status, in bytes, by field name.
func memoryUsage(pid int) (map[string]float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return nil, err
	}
	out := map[string]float64{}
	for line := range strings.Lines(string(data)) {
		name, rest, _ := strings.Cut(line, ":")
		fields := strings.Fields(rest)
		if len(fields) != 2 || fields[1] != "kB" {
			continue
		}
		if kb, err := strconv.ParseFloat(fields[0], 64); err == nil {
			out[name] = kb * 1024
		}
	}
	return out, nil
}

func scrape(address string) (map[string]float64, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return parseMetrics(resp.Body)
}

func parseMetrics(r io.Reader) (map[string]float64, error) {
	out := map[string]float64{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		at := strings.LastIndexByte(lines.Text(), ' ')
		if at < 0 || strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		if v, err := strconv.ParseFloat(lines.Text()[at+1:], 64); err == nil {
			out[lines.Text()[:at]] = v
		}
	}
	return out, lines.Err()
}
