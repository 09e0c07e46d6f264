package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/standin"
)

// Failure codes of the load generator's own, in addition to those of package fail.
const (
	// codeConnection: the connection failed or broke before a response began.
	codeConnection fail.Code = "connection"
	// codeTruncated: the stream ended before its last event.
	codeTruncated fail.Code = "truncated"
	// codeMismatched: the response ended as if complete, but its tokens are not
	// those expected for the request's prompt.
	codeMismatched fail.Code = "foreign"
)

const (
	dialTimeout     = time.Second
	headerClass     = "Parsleyramp-Class"
	completionsPath = "/v1/completions"
	minRetryDelay   = 50 * time.Millisecond
)

// newHTTPClient returns the HTTP client that all simulated clients share.
func newHTTPClient() *http.Client {
	d := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024, DisableCompression: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp4", address)
		},
	}}
}

// entryList is one simulated client's cached list of the entries to use.
type entryList struct {
	client *http.Client
	seeds  []string

	mu      sync.Mutex
	entries []string
	expires time.Time
	rng     *rand.Rand
}

func newEntryList(client *http.Client, seeds []string, seed uint64) *entryList {
	return &entryList{client: client, seeds: seeds, rng: rand.New(rand.NewPCG(seed, 3))}
}

// pick returns a random entry, other than avoid if there is another one. It
// refreshes the list first if that has expired.
func (l *entryList) pick(ctx context.Context, avoid string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.expires) {
		l.refresh(ctx)
	}
	entries := l.entries
	if len(entries) == 0 {
		entries = l.seeds
	}
	i := l.rng.IntN(len(entries))
	if entries[i] == avoid {
		i = (i + 1) % len(entries)
	}
	return entries[i]
}

// pin uses the seed addresses for the given time without fetching the list.
func (l *entryList) pin(ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries, l.expires = l.seeds, time.Now().Add(ttl)
}

// invalidate makes the next pick fetch the list again.
func (l *entryList) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expires = time.Time{}
}

func (l *entryList) refresh(ctx context.Context) {
	addresses := append(append([]string{}, l.entries...), l.seeds...)
	start := l.rng.IntN(len(addresses))
	for i := range addresses {
		if l.fetch(ctx, addresses[(start+i)%len(addresses)]) {
			return
		}
	}
}

func (l *entryList) fetch(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return false
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var list struct {
		Entries     []struct{ Address string }
		KeepSeconds float64 `json:"keep_seconds"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&list) != nil || len(list.Entries) == 0 {
		return false
	}
	l.entries = nil
	for _, e := range list.Entries {
		l.entries = append(l.entries, e.Address)
	}
	l.expires = time.Now().Add(time.Duration(list.KeepSeconds * float64(time.Second)))
	return true
}

// response is the result of one attempt.
type response struct {
	status int
	// firstToken is when the first token arrived; gaps are the times between
	// consecutive tokens.
	firstToken time.Time
	gaps       []time.Duration
	end        time.Time
	complete   bool
	code       fail.Code
	ran        fail.Ran
	// retryAfter is the delay that the response asked for; retryable is false
	// if a retry cannot succeed.
	retryAfter time.Duration
	retryable  bool
	location   string
}

// send sends the arrival to an entry and reads the response to its end.
func send(ctx context.Context, client *http.Client, entry string, a Arrival) response {
	deferred := a.Class.FinishBy != ""
	body, _ := json.Marshal(map[string]any{"model": a.Model, "prompt": a.Prompt, "stream": !deferred, "max_tokens": a.MaxTokens})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+completionsPath, bytes.NewReader(body))
	if err != nil {
		return response{code: codeConnection, ran: fail.RanNo}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerClass, a.Class.Name)
	resp, err := client.Do(req)
	if err != nil {
		return response{code: codeConnection, ran: fail.RanUnknown, retryable: ctx.Err() == nil}
	}
	defer resp.Body.Close()
	result := response{status: resp.StatusCode, location: resp.Header.Get("Location")}
	switch {
	case resp.StatusCode == http.StatusOK:
		readStream(resp.Body, a, &result)
	case resp.StatusCode == http.StatusAccepted && deferred:
		result.complete, result.end = true, time.Now()
	default:
		readRejection(resp, &result)
	}
	return result
}

func readRejection(resp *http.Response, result *response) {
	var rejection struct {
		Error struct {
			Code         fail.Code `json:"code"`
			Ran          fail.Ran  `json:"ran"`
			RetryAfterMS int64     `json:"retry_after_ms"`
		} `json:"error"`
	}
	result.code, result.ran = fail.Code("status_"+strconv.Itoa(resp.StatusCode)), fail.RanUnknown
	if json.NewDecoder(resp.Body).Decode(&rejection) == nil && rejection.Error.Code != "" {
		result.code, result.ran = rejection.Error.Code, rejection.Error.Ran
		result.retryAfter = time.Duration(rejection.Error.RetryAfterMS) * time.Millisecond
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && result.retryAfter == 0 {
		result.retryAfter = time.Duration(seconds) * time.Second
	}
	result.retryable = result.retryAfter > 0
}

// readStream reads a streamed response and checks every token against the one
// expected for the prompt.
func readStream(body io.Reader, a Arrival, result *response) {
	matches, done, tokens := true, false, 0
	var last time.Time
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		now := time.Now()
		if result.firstToken.IsZero() {
			result.firstToken = now
		} else {
			result.gaps = append(result.gaps, now.Sub(last))
		}
		last = now
		var c standin.Completion
		err := json.Unmarshal([]byte(data), &c)
		matches = matches && err == nil && len(c.Choices) == 1 && c.Choices[0].Text == standin.CompletionToken(a.Prompt, tokens)
		tokens++
	}
	result.end = time.Now()
	switch {
	case !matches:
		result.code, result.ran = codeMismatched, fail.RanYes
	case !done || lines.Err() != nil:
		result.code, result.ran, result.retryable = codeTruncated, fail.RanUnknown, true
	case tokens != a.MaxTokens:
		result.code, result.ran = codeMismatched, fail.RanYes
	default:
		result.complete = true
	}
}
