package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/standin"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "50")
	os.Exit(m.Run())
}

func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Demand{
			Shape:    rapid.SampledFrom(Shapes()).Draw(t, "shape"),
			Scenario: rapid.SampledFrom(Scenarios()).Draw(t, "scenario"),
			Rate:     float64(rapid.IntRange(5, 200).Draw(t, "rate")),
			Duration: time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second,
			Seed:     rapid.Uint64().Draw(t, "seed"), Clients: 4, MaxTokens: 8,
		}
		plan := Plan(d)
		if !reflect.DeepEqual(plan, Plan(d)) {
			t.Fatal("two plans for the same demand differ")
		}
		prompts := map[string]bool{}
		for i, a := range plan {
			if a.At < 0 || a.At >= d.Duration || a.MaxTokens < 1 || (i > 0 && a.At < plan[i-1].At) {
				t.Fatalf("arrival %d is out of range or out of order: %+v", i, a)
			}
			prompts[a.Prompt] = true
		}
		if len(prompts) != len(plan) {
			t.Fatal("two requests have the same prompt, so their responses cannot be told apart")
		}
	})
}

func TestMarketDayBurstConcentratesOnFewModels(t *testing.T) {
	shape, _ := ShapeNamed("ranmuthu")
	scenario, _ := ScenarioNamed("market-day")
	plan := Plan(Demand{Shape: shape, Scenario: scenario, Rate: 200, Duration: 30 * time.Second, Seed: 1, Clients: 4, MaxTokens: 8})
	names := shape.servedNames()
	var focused []string
	for _, n := range names[len(names)-focusedModels:] {
		focused = append(focused, n.name)
	}
	var thirds, onFocused [3]int
	for _, a := range plan {
		third := int(a.At / (10 * time.Second))
		thirds[third]++
		if slices.Contains(focused, a.Model) {
			onFocused[third]++
		}
	}
	if thirds[1] < 2*thirds[0] || thirds[1] < 2*thirds[2] || onFocused[1] < 10*onFocused[0] {
		t.Fatalf("requests by third of the run %v, of these for the focused models %v; want a burst on the focused models in the second third", thirds, onFocused)
	}
}

// event encodes one server-sent event with the text as its token.
func event(text string) string {
	data, _ := json.Marshal(standin.Completion{Choices: []standin.Choice{{Text: text}}})
	return "data: " + string(data) + "\n\n"
}

func TestStreamedTokensAreVerified(t *testing.T) {
	a := Arrival{Prompt: "mine", MaxTokens: 3}
	tokensOf := func(prompt string, tokens ...int) string {
		var s string
		for _, i := range tokens {
			s += event(standin.CompletionToken(prompt, i))
		}
		return s
	}
	const done = "data: [DONE]\n\n"
	for _, c := range []struct {
		name, stream string
		complete     bool
		code         fail.Code
	}{
		{"complete", tokensOf("mine", 0, 1, 2) + done, true, ""},
		{"truncated", tokensOf("mine", 0, 1), false, codeTruncated},
		{"truncated before the last event", tokensOf("mine", 0, 1, 2), false, codeTruncated},
		{"last token missing before the last event", tokensOf("mine", 0, 1) + done, false, codeMismatched},
		{"token missing in the middle", tokensOf("mine", 0, 2, 3) + done, false, codeMismatched},
		{"duplicate token", tokensOf("mine", 0, 1, 1, 2) + done, false, codeMismatched},
		{"response to another client", tokensOf("theirs", 0, 1, 2) + done, false, codeMismatched},
		{"response to another client from the second token on", tokensOf("mine", 0) + tokensOf("theirs", 1, 2) + done, false, codeMismatched},
		{"invalid JSON", "data: {\n\n" + done, false, codeMismatched},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out response
			readStream(strings.NewReader(c.stream), a, &out)
			if out.complete != c.complete || out.code != c.code {
				t.Fatalf("complete %t, code %q", out.complete, out.code)
			}
		})
	}
}

func TestLatencyIsMeasuredFromScheduledTime(t *testing.T) {
	shape, _ := ShapeNamed("ranmuthu")
	scenario, _ := ScenarioNamed("steady")
	start := time.Now()
	r := newResults(Options{Demand: Demand{Shape: shape, Scenario: scenario, Duration: 10 * time.Second}}, start)
	class := shape.Classes[0]
	// The request was scheduled at 1 s but sent at 5 s, because the generator was
	// late; its first token arrived 100 ms after it was sent.
	r.add(outcome{
		arrival: Arrival{At: time.Second, Class: class}, sentAt: 5 * time.Second,
		response: response{complete: true, firstToken: start.Add(5100 * time.Millisecond)},
	})
	got := r.report()
	if got.FirstTokenMS.P50 < 4000 || got.Attained != 0 || got.GeneratorLateMS < 3999 {
		t.Fatalf("first token %v ms, attained %d, generator late %v ms; want at least 4000 ms, 0 and at least 3999 ms", got.FirstTokenMS.P50, got.Attained, got.GeneratorLateMS)
	}
}

func TestClientRetriesAfterRejection(t *testing.T) {
	var attempts, entryListRequests int
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, r *http.Request) {
		entryListRequests++
		fmt.Fprintf(w, `{"entries":[{"address":%q}],"keep_seconds":60}`, r.Host)
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Prompt string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		if attempts++; attempts == 1 {
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"error":{"code":"overloaded","ran":"no","retry_after_ms":1}}`)
			return
		}
		fmt.Fprint(w, event(standin.CompletionToken(body.Prompt, 0))+"data: [DONE]\n\n")
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	shape, _ := ShapeNamed("ranmuthu")
	arrival := Arrival{Class: shape.Classes[0], Model: "colombo/model-1", Prompt: "mine", MaxTokens: 1}
	for _, retries := range []int{0, 1} {
		attempts = 0
		o := Options{Demand: Demand{Shape: shape}, Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Retries: retries, RequestTimeout: time.Minute}
		client := newHTTPClient()
		r := &runner{options: o, client: client, results: newResults(o, time.Now()), start: time.Now(), entryLists: []*entryList{newEntryList(client, o.Entries, 1)}}
		out := r.request(context.Background(), arrival)
		if out.response.complete != (retries == 1) || out.retries != retries || len(out.failures) != 1 || out.failures[0].ran != fail.RanNo {
			t.Fatalf("with %d retries: %+v", retries, out)
		}
	}
	if entryListRequests != 2 {
		t.Fatalf("two clients fetched the list of entries %d times, want 2", entryListRequests)
	}
}

func TestReportIsSelfContainedAndReadsBack(t *testing.T) {
	shape, _ := ShapeNamed("kalnins")
	scenario, _ := ScenarioNamed("festival")
	o := Options{Demand: Demand{Shape: shape, Scenario: scenario, Rate: 1, Duration: 3 * time.Second}, Marks: []Mark{{AtSeconds: 1, Text: "<crash>"}}}
	r := newResults(o, time.Now())
	r.add(outcome{arrival: Arrival{Class: shape.Classes[0]}, failures: []response{{code: fail.Overloaded, ran: fail.RanNo}}, response: response{code: fail.Overloaded, ran: fail.RanNo}})
	report := r.report()
	page, data := filepath.Join(t.TempDir(), "r.html"), filepath.Join(t.TempDir(), "r.json")
	if err := report.WriteHTML(page); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, forbidden := range []string{"http://", "https://", "src=", "<link", "<crash>"} {
		if strings.Contains(string(text), forbidden) {
			t.Errorf("the page contains %q, a reference to another resource or unescaped text", forbidden)
		}
	}
	if strings.Count(string(text), "<svg") != 3 {
		t.Error("the page does not contain exactly three plots")
	}
	if err := report.WriteJSON(data); err != nil {
		t.Fatal(err)
	}
	decoded, err := ReadReport(data)
	if err != nil || !reflect.DeepEqual(decoded, report) {
		t.Fatalf("read back %+v, want %+v: %v", decoded, report, err)
	}
}
