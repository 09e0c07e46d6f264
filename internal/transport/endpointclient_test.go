package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"parsleyramp/internal/testnet"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// unframed is the head of a response that ends with its connection.
const unframed = "HTTP/1.1 200 OK\r\n\r\n"

// answerEarly starts an endpoint that lets respond answer each request on each connection once its
// head has been read, and closes the connection after that. It returns the address.
func answerEarly(t *testing.T, respond func(c *net.TCPConn, body io.Reader)) string {
	t.Helper()
	return testnet.Serve(t, func(c *net.TCPConn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			respond(c, req.Body)
		}
	})
}

func resetConn(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// upload sends a long body and returns that of the response.
func upload(ctx context.Context, client *http.Client, address string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))))
	if err != nil {
		return "", err
	}
	req.ContentLength = uploadBytes
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func dialWriteFirst(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return testnet.NewWriteFirst(c)
}

func TestResetThatTheWriterOfTheRequestGetsIsNoEndOfTheBody(t *testing.T) {
	for name, head := range map[string]string{
		"HTTP/1.1":          unframed,
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\n",
		"Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := answerEarly(t, func(c *net.TCPConn, _ io.Reader) {
				io.WriteString(c, head+"part")
				resetConn(c)
			})
			if body, err := upload(t.Context(), newEndpointClient(dialWriteFirst, 1), address); err == nil {
				t.Errorf("body %q of a reset connection was read without an error", body)
			}
		})
	}
}

func TestEndOfAConnectionWhoseRequestIsNotReadIsNoEndOfTheBody(t *testing.T) {
	address := answerEarly(t, func(c *net.TCPConn, _ io.Reader) {
		io.WriteString(c, unframed+"part")
		c.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		resetConn(c)
	})
	if body, err := upload(t.Context(), NewEndpointClient(1), address); err == nil {
		t.Errorf("body %q was read without an error, although the request was not read", body)
	}
}

func TestSoundAnswerToALongUploadIsWhole(t *testing.T) {
	for name, respond := range map[string]func(c *net.TCPConn, body io.Reader){
		"after the request": func(c *net.TCPConn, body io.Reader) {
			io.Copy(io.Discard, body)
			io.WriteString(c, unframed+"whole")
		},
		"before the body": func(c *net.TCPConn, body io.Reader) {
			io.WriteString(c, unframed+"whole")
			io.Copy(io.Discard, body)
		},
		"before the body, whose rest is read after the end of the response": func(c *net.TCPConn, body io.Reader) {
			io.WriteString(c, unframed+"whole")
			c.CloseWrite()
			time.Sleep(200 * time.Millisecond)
			io.Copy(io.Discard, body)
		},
		"before the body, with a length": func(c *net.TCPConn, body io.Reader) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			io.Copy(io.Discard, body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if body, err := upload(t.Context(), NewEndpointClient(1), answerEarly(t, respond)); err != nil || body != "whole" {
				t.Errorf("body %q, error %v, want the whole body", body, err)
			}
		})
	}
}

func TestWaitForTheUploadEndsWithItsRequest(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	address := answerEarly(t, func(c *net.TCPConn, _ io.Reader) {
		io.WriteString(c, unframed+"part")
		c.CloseWrite()
		<-stop
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	if body, err := upload(ctx, NewEndpointClient(1), address); err == nil || time.Since(began) > 2*time.Second {
		t.Errorf("body %q, error %v after %v, want an error soon after the end of the request", body, err, time.Since(began))
	}
}
