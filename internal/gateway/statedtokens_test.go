package gateway

import (
	"testing"

	"parsleyramp/internal/document"
)

func TestStatedTokensAreBoundedByTheMemoryOfAnEngine(t *testing.T) {
	declared := &document.Service{Engine: &document.Engine{CacheTokens: 90_000}}
	for _, c := range []struct {
		name                     string
		service                  *document.Service
		prompt, most, wantPrompt int
	}{
		{"usual", declared, 2368, 80, 2368},
		{"more than an engine holds", declared, 1 << 40, 1 << 40, 90_000},
		{"negative", declared, -5000, -1, 0},
		{"memory not declared", &document.Service{Engine: &document.Engine{}}, 1 << 40, 80, maxStatedTokens},
		{"plain service", &document.Service{}, 1 << 40, 80, maxStatedTokens},
		{"unknown service", nil, 100, 80, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := RequestInfo{PromptTokens: c.prompt, MaxOutputTokens: c.most, ExpectedOutputTokens: c.most}.boundTokens(c.service)
			if got.PromptTokens != c.wantPrompt || got.MaxOutputTokens < 0 || got.expectedOutput() > maxStatedTokens {
				t.Errorf("prompt %d, output %d, want a prompt of %d and an output within bounds", got.PromptTokens, got.MaxOutputTokens, c.wantPrompt)
			}
		})
	}
}
