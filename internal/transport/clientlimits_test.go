package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// limitedServer is a server with limits on its clients, at one address or more.
type limitedServer struct {
	limits    *ClientLimits
	listeners []*pipeListener
}

// roomy are limits that nothing in a test meets.
var roomy = ClientLimitsConfig{Connections: 1000, ConnectionBytes: 1 << 30, BodyBytes: 1 << 30}

// serveLimited serves the handler at the number of addresses.
func serveLimited(t *testing.T, cfg ClientLimitsConfig, addresses int, h http.HandlerFunc) *limitedServer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	out := &limitedServer{limits: NewClientLimits(cfg, logrus.NewEntry(log))}
	for i := range addresses {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := ServeClients(out.limits.limit(l, fmt.Sprint(i)), h)
		t.Cleanup(func() { s.Close() })
		out.listeners = append(out.listeners, l)
	}
	return out
}

// testLimits runs f in a bubble, and gives servers the time to close their connections.
func testLimits(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Second)
	})
}

// connect opens a connection to an address and sends the text on it.
func (s *limitedServer) connect(t *testing.T, address int, text string) net.Conn {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close() })
	s.listeners[address].conns <- server
	go func() { _, _ = io.WriteString(client, text) }()
	synctest.Wait()
	return client
}

// taken returns what all connections take.
func (s *limitedServer) taken() taken {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	return s.limits.total
}

// status reads a response and returns its status, or 0 if the connection is closed instead.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// isOpen reports whether the connection is open and has nothing to read.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func ok(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// TestSilentConnectionsMakeRoomForNewOnes guards against clients that take all descriptors with
// connections on which they send nothing.
func TestSilentConnectionsMakeRoomForNewOnes(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		cfg := roomy
		cfg.Connections = 16
		release := make(chan struct{})
		s := serveLimited(t, cfg, 1, func(http.ResponseWriter, *http.Request) { <-release })
		served := s.connect(t, 0, getRequest)
		var silent []net.Conn
		for range 3 * cfg.Connections {
			silent = append(silent, s.connect(t, 0, ""))
		}
		last := s.connect(t, 0, getRequest)
		if n := s.taken().connections; n != cfg.Connections {
			t.Errorf("%d connections are open, want %d", n, cfg.Connections)
		}
		if isOpen(silent[0]) || !isOpen(silent[len(silent)-1]) {
			t.Error("the connections that have waited longest are to be closed, and those only")
		}
		close(release)
		if first, second := status(served), status(last); first != 200 || second != 200 {
			t.Errorf("statuses of a request in flight and of a new one: %d and %d, want 200", first, second)
		}
	})
}

// TestNewConnectionIsRefusedWhereAllOthersAreServed checks that no request in flight is cut for a new connection.
func TestNewConnectionIsRefusedWhereAllOthersAreServed(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		cfg := roomy
		cfg.Connections = 2
		release := make(chan struct{})
		s := serveLimited(t, cfg, 1, func(http.ResponseWriter, *http.Request) { <-release })
		a, b := s.connect(t, 0, getRequest), s.connect(t, 0, getRequest)
		if c := s.connect(t, 0, getRequest); isOpen(c) {
			t.Error("a connection beyond the limit stays open although all others are served")
		}
		close(release)
		if first, second := status(a), status(b); first != 200 || second != 200 {
			t.Errorf("statuses of the requests in flight: %d and %d, want 200", first, second)
		}
	})
}

// TestHeldHeadsAreBoundedTogether guards against many clients that send heads within the limit for
// one head and do not end them.
func TestHeldHeadsAreBoundedTogether(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		cfg := roomy
		cfg.ConnectionBytes = 1 << 20
		s := serveLimited(t, cfg, 1, ok)
		head := "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("v", 15<<10)
		for range 100 {
			s.connect(t, 0, head)
			if n := s.taken().heads; n > cfg.ConnectionBytes {
				t.Fatalf("heads take %d bytes, want %d at most", n, cfg.ConnectionBytes)
			}
		}
		if got := status(s.connect(t, 0, getRequest)); got != 200 {
			t.Errorf("status of an ordinary request: %d, want 200", got)
		}
	})
}

// TestLargestHeadIsServedInCalm checks that the common limit leaves room for any head that is read.
func TestLargestHeadIsServedInCalm(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		const smallestMemoryMB = 64
		s := serveLimited(t, ClientLimitSettings{}.Config(smallestMemoryMB), 1, ok)
		head := strings.TrimSuffix(getRequest, "\r\n")
		for i := 0; len(head) < defaultHeadBytes-100; i++ {
			head += fmt.Sprintf("h%d:\r\n", i)
		}
		if got := status(s.connect(t, 0, head+"\r\n")); got != 200 {
			t.Errorf("status of a request with a head of %d bytes: %d, want 200", len(head), got)
		}
	})
}

// TestCrowdAtOneAddressLeavesOthersAlone guards against clients that have the connections of other addresses closed.
func TestCrowdAtOneAddressLeavesOthersAlone(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		cfg := roomy
		cfg.Connections = 8
		s := serveLimited(t, cfg, 2, ok)
		other := s.connect(t, 1, "")
		for range 20 {
			s.connect(t, 0, "")
		}
		if !isOpen(other) {
			t.Error("a connection at an address without a crowd is closed")
		}
	})
}

func readAll(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); errors.Is(err, ErrBodiesFull) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func postOf(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// TestStalledBodyMakesRoom guards against clients that hold the memory of all bodies with bodies that
// they do not finish.
func TestStalledBodyMakesRoom(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		cfg := roomy
		cfg.BodyBytes = bodyByteCost * 100 << 10
		s := serveLimited(t, cfg, 1, readAll)
		body := strings.Repeat("b", 60<<10)
		stalled := s.connect(t, 0, postOf(80<<10, body))
		if got := status(s.connect(t, 0, postOf(len(body), body))); got != 503 {
			t.Errorf("status of a body beside one that has just arrived in part: %d, want 503", got)
		}
		time.Sleep(stallTime)
		if got := status(s.connect(t, 0, postOf(len(body), body))); got != 200 {
			t.Errorf("status of a body beside one that is stalled: %d, want 200", got)
		}
		if isOpen(stalled) {
			t.Error("the connection with the stalled body stays open")
		}
	})
}

// TestLimitsAreGivenBack checks that connections and requests that have ended take nothing.
func TestLimitsAreGivenBack(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		s := serveLimited(t, roomy, 1, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/read" {
				readAll(w, r)
			}
		})
		c := s.connect(t, 0, "")
		for _, path := range []string{"/read", "/unread"} {
			go func() {
				_, _ = io.WriteString(c, strings.Replace(postOf(5000, strings.Repeat("b", 5000)), "/", path, 1))
			}()
			if got := status(c); got != 200 {
				t.Fatalf("status of %s: %d, want 200", path, got)
			}
			synctest.Wait()
			if got, want := s.taken(), (taken{connections: 1, heads: connectionBytes}); got != want {
				t.Errorf("after %s an idle connection takes %+v, want %+v", path, got, want)
			}
		}
		c.Close()
		synctest.Wait()
		if got := s.taken(); got != (taken{}) {
			t.Errorf("without connections %+v is taken, want nothing", got)
		}
	})
}

// TestClientThatTakesNoResponseIsCut guards against clients that hold responses without reading them.
func TestClientThatTakesNoResponseIsCut(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		ended := make(chan error, 1)
		s := serveLimited(t, roomy, 1, func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, 1<<20))
			ended <- err
		})
		s.connect(t, 0, getRequest)
		start := time.Now()
		if err := <-ended; err == nil || time.Since(start) > writeTimeout+writeDeadlineSlack {
			t.Errorf("a write that the client does not take ended after %v with %v, want an error within %v", time.Since(start), err, writeTimeout+writeDeadlineSlack)
		}
	})
}

// TestSlowReaderIsNotCut checks that a client may take a response slowly.
func TestSlowReaderIsNotCut(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		const size = 512 << 10
		s := serveLimited(t, roomy, 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
		c := s.connect(t, 0, getRequest)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		got, part := 0, make([]byte, 16<<10)
		for got < size {
			time.Sleep(3 * time.Second)
			n, err := io.ReadFull(resp.Body, part)
			got += n
			if err != nil {
				t.Fatalf("the response ended after %d of %d bytes: %v", got, size, err)
			}
		}
	})
}

// TestErrorsOfTheHTTPServerAreLogged checks that they go to the log of the process, which is bounded.
func TestErrorsOfTheHTTPServerAreLogged(t *testing.T) {
	testLimits(t, func(t *testing.T) {
		s := serveLimited(t, roomy, 1, func(http.ResponseWriter, *http.Request) { panic("broken") })
		var out strings.Builder
		s.limits.log.Logger.SetOutput(&out)
		if got := status(s.connect(t, 0, getRequest)); got != 0 {
			t.Errorf("status %d of a handler that panics, want none", got)
		}
		synctest.Wait()
		if !strings.Contains(out.String(), "broken") {
			t.Errorf("the log has %q, want the panic", out.String())
		}
	})
}
