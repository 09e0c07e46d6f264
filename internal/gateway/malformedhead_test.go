package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"parsleyramp/internal/document"
)

// malformedLines are header lines whose names are no tokens.
var malformedLines = []string{
	"My Field: 1", "Signed : 1", " Signed: 1", "Id : other", "Content-Length : 3", "Transfer-Encoding : chunked", "Not-Run : 1",
	"A\tB: 1", "A\x00B: 1", "A\x01: 1", "A\x7f: 1", "A\rB: 1", "A(B): 1", "A\x80: 1", ": 1", " : 1", "no colon",
}

// answersWith returns answers that are sound but for a line in their heads.
func answersWith(line string) map[string]string {
	const body = "{\"a\":1}"
	head := "HTTP/1.1 200 OK\r\nSigned: 1\r\n" + line + "\r\n"
	return map[string]string{
		"length":     head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":     head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n",
		"connection": head + "\r\n" + body,
		"events":     head + "Content-Type: text/event-stream\r\n\r\n" + event(1),
		"failure":    strings.Replace(head, "200 OK", "404 Not Found", 1) + "\r\n" + body,
		"rejection":  strings.Replace(head, "200 OK", "503 Full", 1) + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"after an interim response": "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" +
			fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"after another's response": "HTTP/1.1 200 OK\r\nId: other\r\n" + line + "\r\nContent-Length: 0\r\n\r\n" +
			fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	}
}

// routesOfAnswers are the kinds of routes whose answers are read in different ways.
var routesOfAnswers = map[string]document.Route{"buffered": nonIdempotent, "stream": stream, "resumable stream": resumable}

func TestAnswerWithAMalformedNameOfAFieldIsNotForwarded(t *testing.T) {
	for kind, route := range routesOfAnswers {
		for _, line := range malformedLines {
			for name, text := range answersWith(line) {
				t.Run(fmt.Sprintf("%s/%s/%q", kind, name, line), func(t *testing.T) {
					t.Parallel()
					address := startGatewayTo(t, route, startAnsweringEngine(t, text))
					if resp, body, err := call(t, t.Context(), address); err != nil || resp.StatusCode != http.StatusBadGateway {
						t.Errorf("response %v with body %q, error %v, want status 502", resp, body, err)
					}
				})
			}
		}
	}
}

func TestAnswerWithUnusualNamesOfFieldsIsForwarded(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nSigned: 1\r\nx!#$%&'*+-.^_`|~1: 1\r\nEmpty:\r\nBlank:  a b \r\nContent-Length: 5\r\n\r\nwhole"
	for kind, route := range routesOfAnswers {
		t.Run(kind, func(t *testing.T) {
			answer := text
			if route.Kind == document.Stream {
				answer = strings.Replace(text, "Content-Length: 5\r\n\r\nwhole", "\r\n"+event(1), 1)
			}
			resp, _, err := call(t, t.Context(), startGatewayTo(t, route, startAnsweringEngine(t, answer)))
			if err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get("Blank") != "a b" {
				t.Errorf("response %v, error %v, want it whole", resp, err)
			}
		})
	}
}

// TestAnswerWithChunksOfAnOlderVersionIsNotForwarded sends an encoding that HTTP/1.0 does not have, so
// that the end of the body is not known (RFC 9112, section 6.1).
func TestAnswerWithChunksOfAnOlderVersionIsNotForwarded(t *testing.T) {
	for _, line := range []string{"Transfer-Encoding: chunked\r\n", "transfer-encoding: chunked\r\nContent-Length: 26\r\n", "Transfer-Encoding:\r\n"} {
		for kind, route := range routesOfAnswers {
			t.Run(kind, func(t *testing.T) {
				text := "HTTP/1.0 200 OK\r\nSigned: 1\r\n" + line + "\r\n" + chunk(event(1)) + "0\r\n\r\n"
				address := startGatewayTo(t, route, startAnsweringEngine(t, text))
				if resp, body, err := call(t, t.Context(), address); err == nil && resp.StatusCode != http.StatusBadGateway {
					t.Errorf("status %d with body %q, want 502", resp.StatusCode, body)
				}
			})
		}
	}
}

func TestInvalidStatusIsNotForwardedWhateverTheFraming(t *testing.T) {
	for _, status := range []string{"000", "099", "007", "+20", "-01", "1 2", "0x1"} {
		for kind, route := range routesOfAnswers {
			for framing, frame := range framings {
				t.Run(status+"/"+kind+"/"+framing, func(t *testing.T) {
					t.Parallel()
					text := strings.Replace(frame(event(1)), " 200 ", " "+status+" ", 1)
					address := startGatewayTo(t, route, startAnsweringEngine(t, text))
					if resp, body, err := call(t, t.Context(), address); err != nil || resp.StatusCode != http.StatusBadGateway {
						t.Errorf("response %v with body %q, error %v, want status 502", resp, body, err)
					}
				})
			}
		}
	}
}
