package testbed

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Span is one span of a trace in a process's span file.
type Span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []SpanAttribute
	Resource    []SpanAttribute
}

// SpanAttribute is an attribute of a span or of its resource.
type SpanAttribute struct {
	Key   string
	Value struct{ Value any }
}

// Spans reads the spans that all processes have written. The files are complete
// after the processes have exited.
func (b *Bed) Spans() ([]Span, error) {
	files, err := filepath.Glob(b.Path("*" + spansSuffix))
	if err != nil {
		return nil, err
	}
	var out []Span
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		for d := json.NewDecoder(f); ; {
			var s Span
			if err := d.Decode(&s); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				return nil, err
			}
			out = append(out, s)
		}
	}
	return out, nil
}
