package endpoint

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return copy(p, strings.Repeat("x", 4096)), nil }
func (endless) Close() error               { return nil }

func TestPassedOnBodyWithoutEndIsBounded(t *testing.T) {
	resp := &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ContentLength: -1, TransferEncoding: []string{"chunked"}, Header: http.Header{}, Body: endless{},
	}
	out, err := checkResponse(Request{}, NewHTTP(nil).begin(t.Context(), func() {}, resp))
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(out.Body, maxPassedBytes+1<<20))
	if err == nil || n > maxPassedBytes {
		t.Errorf("%d bytes passed on, error %v; want an error after %d at most", n, err, maxPassedBytes)
	}
}

func TestPassedOnBodyWithinItsBoundIsWhole(t *testing.T) {
	const text = "an answer"
	resp := &http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ContentLength: int64(len(text)), Header: http.Header{}, Body: io.NopCloser(iotest.OneByteReader(strings.NewReader(text)))}
	out, err := checkResponse(Request{}, NewHTTP(nil).begin(t.Context(), func() {}, resp))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(out.Body); err != nil || string(got) != text {
		t.Errorf("%q, error %v, want the body", got, err)
	}
}
