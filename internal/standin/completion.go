package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/wait"
)

const defaultMaxTokens = 16

// completionRequest holds the fields of an OpenAI-style request that the stand-in
// evaluates.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	// ResumeFrom is the number of tokens to omit at the start of the completion.
	ResumeFrom int `json:"resume_from"`
	Messages   []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (c *completionRequest) text() string {
	parts := []string{c.Prompt}
	for _, m := range c.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, " ")
}

// CompletionToken returns token i of the completion of a prompt. Completions of
// different prompts differ in every token, so that a client can verify that it
// received its own.
func CompletionToken(prompt string, i int) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(prompt), i)
}

// serveCompletion serves a completion request: it waits for a slot, then for the
// simulated prefill and decoding.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var c completionRequest
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	id := r.Header.Get(endpoint.HeaderRequestID)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	run := e.begin(id, &c, r.Header.Get(endpoint.HeaderIncarnation), cancel)
	if run == nil {
		w.Header().Set(endpoint.HeaderRequestID, id)
		http.Error(w, "model not loaded", http.StatusNotFound)
		return
	}
	defer e.end(run)
	if mark := e.faults.get().CrashMark; mark != "" && strings.Contains(string(body), mark) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	stop := context.AfterFunc(run.incarnation.crashed, cancel)
	defer stop()
	if !run.incarnation.admit(ctx, &e.mu, e.cfg.Slots, c.Priority) {
		panic(http.ErrAbortHandler)
	}
	defer run.incarnation.release(&e.mu)
	e.respond(ctx, w, run, &c)
}

// runningRequest is one request on a resident model or adapter of one
// incarnation.
type runningRequest struct {
	id          string
	incarnation *engineIncarnation
	resident    *engineResident
}

// begin counts the request on its resident. It returns nil if the request is for
// another incarnation or its model is not loaded.
func (e *Engine) begin(id string, c *completionRequest, incarnation string, cancel context.CancelFunc) *runningRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	resident := e.current.residents[c.Model]
	if resident == nil || resident.state.Loading || (incarnation != "" && incarnation != e.current.id) {
		return nil
	}
	resident.state.Running++
	e.counts.Requests++
	e.current.cancels[id] = cancel
	return &runningRequest{id: id, incarnation: e.current, resident: resident}
}

// end removes the request from the incarnation that it began on, which may have
// crashed since.
func (e *Engine) end(run *runningRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(run.incarnation.cancels, run.id)
	run.resident.state.Running--
}

func (e *Engine) respond(ctx context.Context, w http.ResponseWriter, run *runningRequest, c *completionRequest) {
	prompt := c.text()
	e.mu.Lock()
	uncached := run.incarnation.cache.prefill(c.Model, prompt, e.faults.consume(func(f *Faults) *int { return &f.DropEvents }))
	e.mu.Unlock()
	if !wait.For(ctx, time.Duration(uncached)*e.cfg.PrefillPerToken) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(endpoint.HeaderRequestID, run.id)
	if c.Stream {
		e.stream(ctx, w, run.id, c, prompt)
		return
	}
	if !wait.For(ctx, time.Duration(c.MaxTokens)*e.cfg.TokenInterval) {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for i := c.ResumeFrom; i < c.MaxTokens; i++ {
		text.WriteString(CompletionToken(prompt, i))
	}
	writeJSON(w, completion(run.id, c.Model, text.String(), "stop"))
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, id string, c *completionRequest, prompt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	truncateAt := -1
	if e.faults.consume(func(f *Faults) *int { return &f.TruncateAnswers }) {
		truncateAt = c.MaxTokens / 2
	}
	out := http.NewResponseController(w)
	for i := c.ResumeFrom; i < c.MaxTokens; i++ {
		if i == truncateAt {
			return
		}
		finish := ""
		if i == c.MaxTokens-1 {
			finish = "stop"
		}
		data, _ := json.Marshal(completion(id, c.Model, CompletionToken(prompt, i), finish))
		fmt.Fprintf(w, "data: %s\n\n", data)
		_ = out.Flush()
		if !wait.For(ctx, e.cfg.TokenInterval) {
			panic(http.ErrAbortHandler)
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// Completion is an OpenAI-style response or one event of its stream.
type Completion struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice holds the text of a Completion.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	Delta        Message `json:"delta"`
	FinishReason string  `json:"finish_reason,omitempty"`
}

// Message is the text of a chat completion.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func completion(id, model, text, finish string) Completion {
	return Completion{ID: id, Model: model, Choices: []Choice{{Text: text, Delta: Message{Role: "assistant", Content: text}, FinishReason: finish}}}
}
