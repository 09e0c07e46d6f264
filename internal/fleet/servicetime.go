package fleet

import (
	"sync"
	"time"
)

const (
	// defaultTokenTime is the time for one token of a response until there are
	// enough samples.
	defaultTokenTime = 6 * time.Millisecond
	// serviceTimeWeight is the weight of the newest response in the averages.
	serviceTimeWeight = 0.05
	// minServiceTimeSamples is the number of responses from which the averages are used.
	minServiceTimeSamples = 6
)

// ServiceTimes estimates how long a response of each model occupies a slot of an
// engine, by the number of tokens that clients announce. The time per token
// differs tenfold between models. It is safe for concurrent use.
type ServiceTimes struct {
	mu     sync.Mutex
	models map[string]*serviceTime
}

type serviceTime struct {
	samples int
	// took and tokens are the averages of the time, in seconds, for which a
	// response occupies a slot, and of its announced tokens.
	took   float64
	tokens float64
	// chunksTook and chunks are the averages of the time, in seconds, from the
	// first chunk of a response to the last, and of the number of chunks.
	chunksTook float64
	chunks     float64
}

// FirstChunkTime is a typical time to the first chunk of a response.
const FirstChunkTime = 100 * time.Millisecond

// RecordChunks records a complete response in chunks. took is the time from the first
// chunk to the last. It has no effect for a model without a recorded response.
func (s *ServiceTimes) RecordChunks(model string, chunks int, took time.Duration) {
	if chunks < 2 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[model]
	if m == nil {
		return
	}
	if m.chunks == 0 {
		m.chunksTook, m.chunks = took.Seconds(), float64(chunks)
	}
	m.chunksTook += serviceTimeWeight * (took.Seconds() - m.chunksTook)
	m.chunks += serviceTimeWeight * (float64(chunks) - m.chunks)
}

// ChunkInterval returns the time from one chunk of a response to the next at an endpoint
// of usual latency; zero if there are not enough samples yet.
func (s *ServiceTimes) ChunkInterval(model string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[model]
	if m == nil || m.samples < minServiceTimeSamples || m.chunks == 0 {
		return 0
	}
	return time.Duration(m.chunksTook / m.chunks * float64(time.Second))
}

// NewServiceTimes returns estimates without any sample.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{models: map[string]*serviceTime{}} }

// Record records a response that occupied a slot for the time took.
func (s *ServiceTimes) Record(model string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[model]
	if m == nil {
		m = &serviceTime{took: took.Seconds(), tokens: float64(tokens)}
		s.models[model] = m
	}
	m.samples++
	// Averaging time and tokens separately keeps single responses with a wrong
	// announcement from counting as much as in an average of the ratios.
	m.took += serviceTimeWeight * (took.Seconds() - m.took)
	m.tokens += serviceTimeWeight * (float64(tokens) - m.tokens)
}

// Estimate returns how long a response of the announced tokens occupies a slot.
func (s *ServiceTimes) Estimate(model string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[model]
	if m == nil || m.samples < minServiceTimeSamples || m.tokens <= 0 {
		return time.Duration(tokens) * defaultTokenTime
	}
	return time.Duration(float64(tokens) * m.took / m.tokens * float64(time.Second))
}
