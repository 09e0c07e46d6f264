package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/testnet"
	"parsleyramp/internal/transport"
)

// runOnce runs an attempt on an endpoint that answers with the text, and reads the response.
func runOnce(t *testing.T, requireID bool, text string) (string, error) {
	t.Helper()
	address := testnet.Serve(t, func(c *net.TCPConn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, text)
		}
	})
	h := NewHTTP(transport.NewEndpointClient(1))
	resp, err := h.Run(t.Context(), address, Request{ID: "7", Method: http.MethodPost, Path: "/", Body: []byte("x"), RequireID: requireID})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.Status, " ", string(body)), err
}

// answersOf returns answers with a status and one more line in their heads.
func answersOf(status, line string) map[string]string {
	const body = `{"id":"7"}`
	head := "HTTP/1.1 " + status + " X\r\n" + HeaderRequestID + ": 7\r\n" + line
	return map[string]string{
		"length":     head + fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":     head + fmt.Sprintf("Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"connection": head + "\r\n" + body,
		"events":     head + "Content-Type: text/event-stream\r\n\r\ndata: " + body + "\n\ndata: [DONE]\n\n",
	}
}

func checkNoAnswer(t *testing.T, status, line string) {
	t.Helper()
	for name, text := range answersOf(status, line) {
		for _, requireID := range []bool{false, true} {
			if got, err := runOnce(t, requireID, text); err == nil || fail.From(err).Ran != fail.RanUnknown {
				t.Errorf("%s, with an id %t: got %q, error %v, want one that says that the attempt may have run", name, requireID, got, err)
			}
		}
	}
}

func TestSoundAnswersOfTheseTestsAreAccepted(t *testing.T) {
	for name, text := range answersOf("200", "X!#$%&'*+-.^_`|~1: a b\r\n") {
		for _, requireID := range []bool{false, true} {
			if _, err := runOnce(t, requireID, text); err != nil {
				t.Errorf("%s, with an id %t: %v", name, requireID, err)
			}
		}
	}
}

func TestAnswerWithAnInvalidStatusIsRejected(t *testing.T) {
	for _, status := range []string{"000", "099", "007", "+20", "-01", "101"} {
		t.Run(status, func(t *testing.T) { checkNoAnswer(t, status, "") })
	}
}

func TestAnswerWithAMalformedNameOfAFieldIsRejected(t *testing.T) {
	for _, line := range []string{"My Field: 1", "Content-Length : 3", "Transfer-Encoding : chunked", HeaderRequestID + " : 8", "A\tB: 1", "A\x00: 1", ": 1"} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) { checkNoAnswer(t, "200", line+"\r\n") })
	}
}
