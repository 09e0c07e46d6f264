package fleet

import (
	"sync"
	"time"
)

const (
	// defaultPace is the time for one token of an answer before any was seen.
	defaultTokenTime = 6 * time.Millisecond
	// paceWeight is the share of the newest answer in the averages.
	serviceTimeWeight = 0.05
	// paceSamples is how many answers are needed to rely on the averages.
	minServiceTimeSamples = 6
)

// ServiceTimes measures how long each model's answers occupy a place of an engine,
// against the tokens that callers announced. Models differ tenfold. It is safe
// for concurrent use.
type ServiceTimes struct {
	mu     sync.Mutex
	models map[string]*serviceTime
}

type serviceTime struct {
	samples int
	took    float64
	tokens  float64
	// pieceTook and pieces are the averages of the time from the first piece of
	// an answer to its last, and of how many pieces there were.
	chunksTook float64
	chunks     float64
}

// FirstChunkTime is a typical time to the first piece of an answer.
const FirstChunkTime = 100 * time.Millisecond

// RecordChunks records a whole answer that came in pieces, the last of which came
// the time after the first.
func (p *ServiceTimes) RecordChunks(model string, chunks int, took time.Duration) {
	if chunks < 2 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[model]
	if m == nil {
		return
	}
	if m.chunks == 0 {
		m.chunksTook, m.chunks = took.Seconds(), float64(chunks)
	}
	m.chunksTook += serviceTimeWeight * (took.Seconds() - m.chunksTook)
	m.chunks += serviceTimeWeight * (float64(chunks) - m.chunks)
}

// ChunkInterval returns the time from one piece of an answer to the next at an endpoint
// of usual speed; zero where that is not known yet.
func (p *ServiceTimes) ChunkInterval(model string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[model]
	if m == nil || m.samples < minServiceTimeSamples || m.chunks == 0 {
		return 0
	}
	return time.Duration(m.chunksTook / m.chunks * float64(time.Second))
}

// NewServiceTimes returns a measure without any answer.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{models: map[string]*serviceTime{}} }

// Record records an answer that occupied a place for the time.
func (p *ServiceTimes) Record(model string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[model]
	if m == nil {
		m = &serviceTime{took: took.Seconds(), tokens: float64(tokens)}
		p.models[model] = m
	}
	m.samples++
	// The averages of both keep single estimates that are far off from counting
	// as much as their ratio would.
	m.took += serviceTimeWeight * (took.Seconds() - m.took)
	m.tokens += serviceTimeWeight * (float64(tokens) - m.tokens)
}

// Estimate returns how long an answer of the announced tokens occupies a place.
func (p *ServiceTimes) Estimate(model string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[model]
	if m == nil || m.samples < minServiceTimeSamples || m.tokens <= 0 {
		return time.Duration(tokens) * defaultTokenTime
	}
	return time.Duration(float64(tokens) * m.took / m.tokens * float64(time.Second))
}
