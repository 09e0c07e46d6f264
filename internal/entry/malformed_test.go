package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"parsleyramp/internal/endpoint"
)

// newRawEngine returns an engine whose completions have the status line and one more line in their
// heads. Its state is that of an engine that has not crashed.
func newRawEngine(statusLine, line string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == endpoint.PathState {
			fmt.Fprint(w, `{"incarnation":"0"}`)
			return
		}
		io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		id := r.Header.Get(endpoint.HeaderRequestID)
		body := fmt.Sprintf("data: {\"id\":%q}\n\ndata: [DONE]\n\n", id)
		head := fmt.Sprintf("%s\r\n%s: %s\r\n%s", statusLine, endpoint.HeaderRequestID, id, line)
		fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
}

func TestMalformedAnswerOfAnEngineReachesNoClient(t *testing.T) {
	for name, engine := range map[string]http.HandlerFunc{
		"status 000":         newRawEngine("HTTP/1.1 000 X", ""),
		"status 099":         newRawEngine("HTTP/1.1 099 X", ""),
		"status 007":         newRawEngine("HTTP/1.1 007 X", ""),
		"blank in a name":    newRawEngine("HTTP/1.1 200 OK", "My Field: 1\r\n"),
		"blank after a name": newRawEngine("HTTP/1.1 200 OK", "Content-Length : 3\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 1, nil, engine)
			resp, err := post(&http.Client{}, d.servers[0].cfg.CallerAddress, "p")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d, body %q, error %v, want 502", resp.StatusCode, body, err)
			}
		})
	}
}
