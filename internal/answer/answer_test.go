package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
)

var errReset = errors.New("connection reset")

// event is one short event.
const event = "data: a\n\n"

// readEvents returns what the stream passes on, and the error that ends it.
func readEvents(body io.Reader, f Framing) (string, error) {
	e := NewEvents(body, f)
	var out strings.Builder
	for {
		p, err := e.Next()
		if err != nil {
			return out.String(), err
		}
		out.Write(p)
	}
}

func TestStreamIsWholeOnlyBetweenEvents(t *testing.T) {
	for _, c := range []struct {
		name, body string
		framing    Framing
		passedOn   string
		whole      bool
	}{
		{"LF", "data: a\n\ndata: b\n\n", ByConnection, "data: a\n\ndata: b\n\n", true},
		{"CRLF", "data: a\r\n\r\ndata: b\r\n\r\n", ByConnection, "data: a\r\n\r\ndata: b\r\n\r\n", true},
		{"CR", "data: a\r\rdata: b\r\r", ByConnection, "data: a\r\rdata: b\r\r", true},
		{"ends inside an event", "data: a\n\nda", ByConnection, "data: a\n\n", false},
		{"ends inside an event with CRLF", "data: a\r\n\r\ndata: b\r\n", ByConnection, "data: a\r\n\r\n", false},
		{"chunks end inside an event", "data: a\n\ndata: b", ByChunks, "data: a\n\n", false},
		{"length ends inside an event", "data: a\n\ndata: b\n", ByLength, "data: a\n\n", false},
		{"comment after the last event", "data: a\n\n: done\n", ByConnection, "data: a\n\n: done\n", true},
		{"ends inside a comment", "data: a\n\n: do", ByConnection, "data: a\n\n", false},
		{"empty lines after the last event", "data: a\n\n\n\n", ByConnection, "data: a\n\n\n\n", true},
		{"no event before the connection ends", "", ByConnection, "", false},
		{"only a comment before the connection ends", ": hello\n", ByConnection, ": hello\n", false},
		{"no event, stated by the length", "", ByLength, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := readEvents(iotest.OneByteReader(strings.NewReader(c.body)), c.framing)
			if whole := err == io.EOF; got != c.passedOn || whole != c.whole {
				t.Errorf("passed on %q, error %v; want %q, whole %t", got, err, c.passedOn, c.whole)
			}
			if err != io.EOF && !fail.Is(err, fail.TruncatedAnswer) {
				t.Errorf("error %v, want a truncated answer", err)
			}
		})
	}
}

func TestResetStreamIsNotWhole(t *testing.T) {
	body := io.MultiReader(strings.NewReader("data: a\n\n"), iotest.ErrReader(errReset))
	if got, err := readEvents(body, ByConnection); got != "data: a\n\n" || !fail.Is(err, fail.TruncatedAnswer) {
		t.Errorf("passed on %q, error %v; want the first event and a truncated answer", got, err)
	}
}

func TestEventWithoutEndIsBounded(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("data: "), &endlessReader{})
	e := NewEvents(endless, ByChunks)
	if _, err := e.Next(); !fail.Is(err, fail.TruncatedAnswer) || len(e.pending) > MaxEventBytes+readBufferBytes {
		t.Errorf("error %v after %d bytes, want a truncated answer after about %d", err, len(e.pending), MaxEventBytes)
	}
}

func TestLongEventIsReportedAsHeldUntilItIsReturned(t *testing.T) {
	long := "data: " + strings.Repeat("x", 3*MinHeldBytes) + "\n\n"
	e := NewEvents(iotest.HalfReader(strings.NewReader(event+long+event)), ByChunks)
	var held []int
	e.Hold = func(bytes int) error {
		held = append(held, bytes)
		return nil
	}
	var got strings.Builder
	p, err := e.Next()
	for ; err == nil; p, err = e.Next() {
		got.Write(p)
	}
	if err != io.EOF || got.String() != event+long+event {
		t.Errorf("%d bytes, error %v, want the stream as it is", got.Len(), err)
	}
	if len(held) < 2 || held[len(held)-2] < MinHeldBytes || held[len(held)-1] != 0 {
		t.Errorf("held %v, want the bytes of the long event and then none", held)
	}
}

func TestStreamWhoseEventCannotBeHeldFails(t *testing.T) {
	e := NewEvents(strings.NewReader("data: "+strings.Repeat("x", 2*MinHeldBytes)), ByChunks)
	e.Hold = func(int) error { return errReset }
	if _, err := e.Next(); !fail.Is(err, fail.TruncatedAnswer) {
		t.Errorf("error %v, want a truncated answer", err)
	}
}

func TestStreamWithoutEndIsBounded(t *testing.T) {
	for name, line := range map[string]string{"events": "data: x\n\n", "comments": ": x\n", "empty lines": "\n"} {
		e := NewEvents(&repeatingReader{text: strings.Repeat(line, 4096)}, ByChunks)
		read := 0
		var err error
		for err == nil {
			var p []byte
			p, err = e.Next()
			read += len(p)
		}
		if !fail.Is(err, fail.TruncatedAnswer) || read > MaxStreamBytes {
			t.Errorf("%s: error %v after %d bytes, want a truncated answer after %d at most", name, err, read, MaxStreamBytes)
		}
	}
}

// repeatingReader returns the text again and again.
type repeatingReader struct{ text string }

func (r *repeatingReader) Read(p []byte) (int, error) { return copy(p, r.text), nil }

// endlessReader returns bytes of one line without end.
type endlessReader struct{}

func (*endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// TestStreamCutAnywhereIsPassedOnInWholeEvents cuts a stream after any byte and checks
// that just its whole events are passed on, however the bytes arrive.
func TestStreamCutAnywhereIsPassedOnInWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		var text strings.Builder
		ends := map[int]bool{0: true}
		for range rapid.IntRange(1, 5).Draw(t, "events") {
			for _, line := range rapid.SliceOfN(rapid.StringMatching(`(data|id): [a-z: ]{0,9}`), 1, 3).Draw(t, "lines") {
				text.WriteString(line + lineEnd)
			}
			text.WriteString(lineEnd)
			ends[text.Len()] = true
			if lineEnd == "\r\n" {
				ends[text.Len()-1] = true
			}
		}
		cut := rapid.IntRange(0, text.Len()).Draw(t, "cut")
		got, err := readEvents(iotest.HalfReader(strings.NewReader(text.String()[:cut])), ByChunks)
		if whole := err == io.EOF; whole != ends[cut] {
			t.Fatalf("whole %t after %d of %q", whole, cut, text.String())
		}
		if !strings.HasPrefix(text.String()[:cut], got) || !ends[len(got)] {
			t.Fatalf("passed on %q of %q", got, text.String()[:cut])
		}
	})
}

func TestCutEvent(t *testing.T) {
	for _, c := range []struct{ in, event, rest string }{
		{"data: a\n\ndata: b\n\n", "data: a\n\n", "data: b\n\n"},
		{"data: a\r\n\r\ndata: b", "data: a\r\n\r\n", "data: b"},
		{": x\n\ndata: a\n\n", ": x\n\ndata: a\n\n", ""},
		{"data: a\n", "", "data: a\n"},
	} {
		event, rest, ok := CutEvent([]byte(c.in))
		if string(event) != c.event || string(rest) != c.rest || ok != (c.event != "") {
			t.Errorf("CutEvent(%q) = %q, %q, %t", c.in, event, rest, ok)
		}
	}
}

func TestCompleteEvents(t *testing.T) {
	const text = "id: 1\ndata: x\n\nid: 22\ndata: y\n\nid: 3\nda"
	got, err := readEvents(strings.NewReader(text), ByChunks)
	if text[len(got):] != "id: 3\nda" || LastEventID([]byte(got)) != "22" || err == io.EOF {
		t.Errorf("complete events %q, last id %q, error %v, want the first two events and id 22", got, LastEventID([]byte(got)), err)
	}
}

func TestLastEventID(t *testing.T) {
	for in, want := range map[string]string{
		"id: 1\ndata: a\n\nid: 2\n\n": "2", "id:7\r\ndata: id: 9\r\n\r\n": "7", "data: a\n\n": "", "id: 1\r\rid: 3\r\r": "3",
	} {
		if got := LastEventID([]byte(in)); got != want {
			t.Errorf("LastEventID(%q) = %q, want %q", in, got, want)
		}
	}
}

func TestLastEventTellsAnEventWithoutAnIDFromNone(t *testing.T) {
	for in, want := range map[string]struct {
		id string
		ok bool
	}{
		"id: 1\ndata: a\n\ndata: b\n\n": {"", true}, "data: a\r\n\r\nid: 2\r\n\r\n: c\r\n": {"2", true}, ": c\n": {"", false}, "": {"", false}, "id: 1\rdata: x\r\r": {"1", true},
	} {
		if id, ok := LastEvent([]byte(in)); id != want.id || ok != want.ok {
			t.Errorf("LastEvent(%q) = %q, %v, want %+v", in, id, ok, want)
		}
	}
}

func TestBufferedAnswerIsWhole(t *testing.T) {
	const limit = 8
	ok := Head{Status: http.StatusOK, Framing: ByConnection}
	asJSON := Head{Status: http.StatusOK, Framing: ByConnection, ContentType: "application/json; charset=utf-8"}
	for _, c := range []struct {
		name  string
		head  Head
		body  io.Reader
		whole bool
	}{
		{"bytes up to the end of the connection", ok, strings.NewReader("bytes"), true},
		{"nothing up to the end of the connection", ok, strings.NewReader(""), false},
		{"nothing, as stated by the length", Head{Status: http.StatusOK}, strings.NewReader(""), true},
		{"failure without a body", Head{Status: http.StatusBadGateway, Framing: ByConnection}, strings.NewReader(""), true},
		{"JSON", asJSON, strings.NewReader(`{"a":1}`), true},
		{"JSON that ends early", asJSON, strings.NewReader(`{"a"`), false},
		{"reset", ok, io.MultiReader(strings.NewReader("bytes"), iotest.ErrReader(errReset)), false},
		{"at the limit", ok, strings.NewReader("12345678"), true},
		{"beyond the limit", ok, strings.NewReader("123456789"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			data, err := ReadAll(c.body, c.head, limit)
			if whole := err == nil; whole != c.whole || err != nil && !fail.Is(err, fail.TruncatedAnswer) {
				t.Errorf("read %q, error %v; want whole %t", data, err, c.whole)
			}
		})
	}
}

func TestHeadOf(t *testing.T) {
	for _, c := range []struct {
		text string
		want Framing
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", ByLength},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ByChunks},
		{"HTTP/1.1 200 OK\r\n\r\nab", ByConnection},
		{"HTTP/1.0 200 OK\r\n\r\nab", ByConnection},
		{"HTTP/1.1 204 No Content\r\n\r\n", ByLength},
	} {
		resp, err := http.ReadResponse(newReader(c.text), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := HeadOf(resp).Framing; got != c.want {
			t.Errorf("framing %v of %q, want %v", got, c.text, c.want)
		}
	}
	for contentType, want := range map[string]bool{"": true, "text/event-stream; charset=utf-8": true, "application/json": false} {
		if got := (Head{ContentType: contentType}).MayBeEvents(); got != want {
			t.Errorf("MayBeEvents() = %t for %q", got, contentType)
		}
	}
}

func BenchmarkEvents(b *testing.B) {
	text := bytes.Repeat([]byte("id: 12\ndata: some tokens of an answer\n\n"), 100)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := readEvents(bytes.NewReader(text), ByChunks); err != io.EOF {
			b.Fatal(err)
		}
	}
}

func newReader(text string) *bufio.Reader { return bufio.NewReader(strings.NewReader(text)) }
