package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/fail"
)

// A pipe has no buffer: a pending write stands for bytes that have arrived and have not been read.
func TestWhatHasArrivedOfAResponseIsReadWhenADrainEndsItsRequest(t *testing.T) {
	draining := fail.New(fail.Draining, "the gateway stops")
	for name, c := range map[string]struct {
		cause    error
		arrived  bool
		want     string
		endsIn   time.Duration
		complete bool
	}{
		"whole":                   {draining, true, "12345678", 0, true},
		"in part":                 {draining, false, "1234", FinalReadTime, false},
		"whole, the client left":  {context.Canceled, true, "1234", 0, false},
		"in part, without a word": {nil, false, "1234", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer far.Close()
				p := NewPoolWithDial(func(context.Context, string) (net.Conn, error) { return near, nil })
				go func() {
					readRequest(bufio.NewReader(far))
					_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n1234")
					if c.arrived {
						_, _ = io.WriteString(far, "5678")
					}
				}()
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				resp, err := p.Do(ctx, "endpoint", request("1"), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Close()
				began := time.Now()
				cancel(c.cause)
				synctest.Wait()
				got, err := io.ReadAll(resp.Body)
				if string(got) != c.want || (err == nil) != c.complete || time.Since(began) != c.endsIn {
					t.Errorf("body %q, error %v after %v, want %q, whole %t, after %v", got, err, time.Since(began), c.want, c.complete, c.endsIn)
				}
			})
		})
	}
}
