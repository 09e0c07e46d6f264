// Package answer decides whether an endpoint's answer is whole, for every framing of
// HTTP/1.1 and for both kinds of content: a body that is read before it is passed on,
// and a stream of events. It opens no connections.
package answer

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"

	"parsleyramp/internal/fail"
)

// Framing is how an answer states where its body ends (RFC 9112, section 6.3).
type Framing int

// Framings.
const (
	// ByLength: a Content-Length, or a status or a method (HEAD) without a body.
	ByLength Framing = iota
	// ByChunks: the last chunk, or the end of an HTTP/2 stream.
	ByChunks
	// ByConnection: the end of the connection, which comes early if the endpoint fails.
	ByConnection
)

// String returns the framing's name, for logs and metrics.
func (f Framing) String() string { return [...]string{"length", "chunks", "connection"}[f] }

// Head is what the head of an answer states about its body.
type Head struct {
	Status      int
	Framing     Framing
	ContentType string
	// Encoding is the Content-Encoding; empty for none.
	Encoding string
}

// HeadOf returns the head of a response that has been read by net/http.
func HeadOf(r *http.Response) Head {
	h := Head{Status: r.StatusCode, ContentType: r.Header.Get("Content-Type"), Encoding: r.Header.Get("Content-Encoding")}
	switch {
	case r.Request != nil && r.Request.Method == http.MethodHead:
		h.Framing = ByLength
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0 && r.ProtoMajor > 1:
		h.Framing = ByChunks
	case r.ContentLength < 0:
		h.Framing = ByConnection
	}
	return h
}

const jsonType = "application/json"

// mediaType returns the media type without its parameters, empty if it is missing or
// cannot be parsed.
func (h Head) mediaType() string {
	t, _, err := mime.ParseMediaType(h.ContentType)
	if err != nil {
		return ""
	}
	return t
}

// MayBeEvents reports whether the body may be a stream of events: some endpoints name
// another type of text, or none.
func (h Head) MayBeEvents() bool {
	t := h.mediaType()
	return t == "" || strings.HasPrefix(t, "text/")
}

// Continues reports whether the body may go on with the stream that an answer with the head begun
// began: it has the same status, media type and encoding.
func (h Head) Continues(begun Head) bool {
	return h.Status == begun.Status && h.Encoding == begun.Encoding && h.mediaType() == begun.mediaType()
}

// ReadAll reads a body that states its end, or whose connection was closed in order. It
// fails with fail.TruncatedAnswer unless the body is whole and within the limit. A body
// that ends with its connection can be told from a broken one only by its content: a
// success must have some, and JSON must be complete.
func ReadAll(body io.Reader, h Head, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	switch {
	case err != nil:
		return nil, truncated(err, "the answer was interrupted")
	case int64(len(data)) > limit:
		return nil, truncated(nil, "the answer exceeds the size limit")
	case h.Framing != ByConnection || h.Status < http.StatusOK || h.Status >= http.StatusMultipleChoices:
		return data, nil
	case len(data) == 0:
		return nil, truncated(nil, "the connection ended after the head of the answer")
	case h.mediaType() == jsonType && !json.Valid(data):
		return nil, truncated(nil, "the connection ended within a JSON value")
	}
	return data, nil
}

func truncated(cause error, message string) error {
	if cause == nil {
		return fail.New(fail.TruncatedAnswer, message).WithRan(fail.RanUnknown)
	}
	return fail.Wrap(cause, fail.TruncatedAnswer, message).WithRan(fail.RanUnknown)
}
