package transport

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestLookaheadTellsWhetherBytesWereReadBehindTheRequestsThatHaveBegun(t *testing.T) {
	const chunkedBody = "3\r\nabc\r\n0\r\n\r\n"
	rapid.Check(t, func(t *rapid.T) {
		var l lookahead
		var text strings.Builder
		var ends, bodies []int
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			text.WriteString("POST / HTTP/1.1\r\nHost: h\r\n\r\n")
			body := rapid.IntRange(-1, 20).Draw(t, "body")
			if body < 0 {
				text.WriteString(chunkedBody)
			} else {
				text.WriteString(rapid.StringOfN(rapid.SampledFrom([]rune("b\r\n")), body, body, -1).Draw(t, "text"))
			}
			ends, bodies = append(ends, text.Len()), append(bodies, body)
		}
		all, read := text.String(), 0
		for i, end := range ends {
			until := rapid.IntRange(max(end, read), len(all)).Draw(t, "read until")
			for read < until {
				n := rapid.IntRange(1, until-read).Draw(t, "bytes")
				l.read([]byte(all[read : read+n]))
				read += n
			}
			l.begin(int64(bodies[i]))
			if got, want := l.more(), read > end; got != want {
				t.Fatalf("more %t after %d of %q and %d requests, want %t", got, read, all, i+1, want)
			}
		}
	})
}
