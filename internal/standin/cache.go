package standin

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyramp/internal/endpoint"
)

// maxRetainedEvents limits the events retained. Readers see a gap where older
// events were dropped.
const maxRetainedEvents = 1024

// prefixCache caches prompts by the digest of their first words and evicts in
// order of insertion.
type prefixCache struct {
	capacityTokens int
	usedTokens     int
	insertionOrder []uint64
	tokens         map[uint64]int
	models         map[uint64]string
	sequence       uint64
	events         []timedEvent
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacityTokens: capacity, tokens: map[uint64]int{}, models: map[uint64]string{}}
}

// PrefixWords is the number of words of a prompt that form its prefix.
const PrefixWords = 8

// PrefixDigest returns the digest by which cache events identify the prefix of a
// prompt.
func PrefixDigest(model, prompt string) uint64 {
	words := strings.Fields(prompt)
	return xxhash.Sum64String(model + "\x00" + strings.Join(words[:min(len(words), PrefixWords)], " "))
}

// prefill returns the number of tokens of the prompt that are not cached, and
// caches its prefix.
func (c *prefixCache) prefill(model, prompt string, dropEvent bool) int {
	words := len(strings.Fields(prompt))
	key := PrefixDigest(model, prompt)
	if cached, ok := c.tokens[key]; ok {
		return max(0, words-cached)
	}
	size := min(words, PrefixWords)
	c.tokens[key], c.models[key] = size, model
	c.insertionOrder = append(c.insertionOrder, key)
	c.usedTokens += size
	c.publish(endpoint.CacheEvent{Stored: true, Prefix: key, Model: model}, dropEvent)
	for c.usedTokens > c.capacityTokens && len(c.insertionOrder) > 1 {
		evicted := c.insertionOrder[0]
		c.insertionOrder = c.insertionOrder[1:]
		c.usedTokens -= c.tokens[evicted]
		c.publish(endpoint.CacheEvent{Prefix: evicted, Model: c.models[evicted]}, dropEvent)
		delete(c.tokens, evicted)
		delete(c.models, evicted)
	}
	return words
}

func (c *prefixCache) publish(e endpoint.CacheEvent, drop bool) {
	c.sequence++
	if drop {
		return
	}
	e.Sequence = c.sequence
	c.events = append(c.events, timedEvent{at: time.Now(), event: e})
	if len(c.events) > maxRetainedEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the retained events with a higher sequence number that
// happened no later than latest.
func (c *prefixCache) eventsAfter(sequence uint64, latest time.Time) []endpoint.CacheEvent {
	out := []endpoint.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > sequence && !e.at.After(latest) {
			out = append(out, e.event)
		}
	}
	return out
}
