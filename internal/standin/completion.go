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
)

const defaultMaxTokens = 16

// completionRequest is the part of an OpenAI-style body that the stand-in reads.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	// ResumeFrom leaves out the first tokens of the answer.
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

// AnswerToken returns token i of the answer to a prompt. Answers to different
// prompts differ in every token, so that a caller can check that it got its own.
func AnswerToken(prompt string, i int) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(prompt), i)
}

// serveCompletion batches, takes its time and answers token by token.
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
	crashed, ok := e.begin(id, &c, r.Header.Get(endpoint.HeaderIncarnation), cancel)
	if !ok {
		w.Header().Set(endpoint.HeaderRequestID, id)
		http.Error(w, "the model is not resident", http.StatusNotFound)
		return
	}
	defer e.end(id, &c)
	if mark := e.faults.get().CrashMark; mark != "" && strings.Contains(string(body), mark) {
		e.mu.Lock()
		e.counts.Crashes++
		e.mu.Unlock()
		e.restart()
		panic(http.ErrAbortHandler)
	}
	stop := context.AfterFunc(crashed, cancel)
	defer stop()
	if !e.admit(ctx, c.Priority) {
		panic(http.ErrAbortHandler)
	}
	defer e.release()
	e.answer(ctx, w, id, &c)
}

// begin notes the request on its resident. It fails for another incarnation
// and for a model that is not there.
func (e *Engine) begin(id string, c *completionRequest, incarnation string, cancel context.CancelFunc) (context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.residents[c.Model]
	if r == nil || r.loading || (incarnation != "" && incarnation != e.incarnationName()) {
		return nil, false
	}
	r.state.Running++
	e.counts.Requests++
	e.cancels[id] = cancel
	return e.crashed, true
}

func (e *Engine) end(id string, c *completionRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, id)
	if r := e.residents[c.Model]; r != nil && r.state.Running > 0 {
		r.state.Running--
	}
}

// admit waits for a slot; a lower priority number goes first.
func (e *Engine) admit(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.cfg.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	me := &waiter{priority: priority, admitted: make(chan struct{})}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority > priority {
		at--
	}
	e.waiting = append(e.waiting[:at], append([]*waiter{me}, e.waiting[at:]...)...)
	e.mu.Unlock()
	select {
	case <-me.admitted:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == me {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return false
		}
	}
	e.handOver()
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handOver()
}

// handOver gives a slot to the first waiter, or frees it.
func (e *Engine) handOver() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	close(e.waiting[0].admitted)
	e.waiting = e.waiting[1:]
}

func (e *Engine) answer(ctx context.Context, w http.ResponseWriter, id string, c *completionRequest) {
	prompt := c.text()
	e.mu.Lock()
	fresh := e.cache.use(c.Model, prompt, e.faults.take(func(f *Faults) *int { return &f.DropEvents }))
	e.mu.Unlock()
	if !sleep(ctx, time.Duration(fresh)*e.cfg.PrefillPerToken) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(endpoint.HeaderRequestID, id)
	if c.Stream {
		e.stream(ctx, w, id, c, prompt)
		return
	}
	if !sleep(ctx, time.Duration(c.MaxTokens)*e.cfg.TokenInterval) {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for i := c.ResumeFrom; i < c.MaxTokens; i++ {
		text.WriteString(AnswerToken(prompt, i))
	}
	writeJSON(w, completion(id, c.Model, text.String(), "stop"))
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, id string, c *completionRequest, prompt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	cut := -1
	if e.faults.take(func(f *Faults) *int { return &f.TruncateAnswers }) {
		cut = c.MaxTokens / 2
	}
	out := http.NewResponseController(w)
	for i := c.ResumeFrom; i < c.MaxTokens; i++ {
		if i == cut {
			return
		}
		finish := ""
		if i == c.MaxTokens-1 {
			finish = "stop"
		}
		data, _ := json.Marshal(completion(id, c.Model, AnswerToken(prompt, i), finish))
		fmt.Fprintf(w, "data: %s\n\n", data)
		_ = out.Flush()
		if !sleep(ctx, e.cfg.TokenInterval) {
			panic(http.ErrAbortHandler)
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// Completion is one answer or one event of an OpenAI-style stream.
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

// Message is the text of a chat answer.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func completion(id, model, text, finish string) Completion {
	return Completion{ID: id, Model: model, Choices: []Choice{{Text: text, Delta: Message{Role: "assistant", Content: text}, FinishReason: finish}}}
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
