package abusive

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"parsleyramp/platform/standin"
)

const (
	kib = 1 << 10
	mib = 1 << 20
	// endlessBytes is what a connection carries whose client sends without end.
	endlessBytes = 4 * mib
	// heldHeadBytes is the size of a head that is not ended, below the limit that documents set,
	// and heldLongHeadBytes one above it and below the 64 KB that processes read at most.
	heldHeadBytes     = 15 * kib
	heldLongHeadBytes = 60 * kib
	// longHeadBytes is the size of a head above the limits of all addresses.
	longHeadBytes = 256 * kib
	// lineBytes is the length of a header line. net/http accepts 500 lines since Go 1.27.
	lineBytes = 125
	// heldBodyBytes is the size of a body, below the limits of all addresses, of which the last byte is not sent.
	heldBodyBytes = 1 * mib
	// compressedBytes is the size of a message that is compressed to a thousandth.
	compressedBytes = 60 * mib
	// unreadRequests is the number of requests that are sent on a connection whose responses are not read.
	unreadRequests = 200
	// heldStreams is the number of HTTP/2 streams on a connection.
	heldStreams = 100
	// namedRequests is the number of requests on a connection that each have names of their own, of nameBytes.
	namedRequests = 500
	nameBytes     = 2 * kib
	// maxRounds bounds how often a client connects.
	maxRounds = 20
	// roundInterval is the pause before a client connects again, and dialTimeout bounds that.
	roundInterval = 50 * time.Millisecond
	dialTimeout   = 2 * time.Second
	// placeTimeout bounds the wait until all clients have sent what they send; some servers stop reading.
	placeTimeout = 8 * time.Second
	// usageInterval is the time between two looks at what the process uses.
	usageInterval = 50 * time.Millisecond
)

// kind is a kind of client that does not behave.
type kind struct {
	// crowd is the number of its connections at the same time.
	crowd int
	// send sends what a client sends on one connection.
	send func(c io.Writer, g target) error
	// deaf clients do not read responses.
	deaf bool
}

var (
	longHeads = kind{crowd: 800, send: func(c io.Writer, g target) error {
		return sendAll(c, get(g), shortLines(longHeadBytes), "\r\n")
	}}
	endlessHeads = kind{crowd: 800, send: func(c io.Writer, g target) error {
		return sendAll(c, get(g), lines(endlessBytes))
	}}
	endlessLines = kind{crowd: 800, send: func(c io.Writer, g target) error {
		return sendAll(c, "GET /", repeat("a", endlessBytes))
	}}
	blankLines = kind{crowd: 800, send: func(c io.Writer, g target) error {
		return sendAll(c, repeat("\r\n", endlessBytes/2))
	}}
	bareBlankLines = kind{crowd: 800, send: func(c io.Writer, g target) error {
		return sendAll(c, repeat("\n", endlessBytes))
	}}
	blankLinesBehindRequests = kind{crowd: 800, send: func(c io.Writer, g target) error {
		return sendAll(c, post(g, 4), "body", repeat("\r\n", endlessBytes/2))
	}}
	// heads that are whole but for their end.
	heldHeads     = kind{crowd: 800, send: func(c io.Writer, g target) error { return sendAll(c, get(g), lines(heldHeadBytes)) }}
	heldLongHeads = kind{crowd: 800, send: func(c io.Writer, g target) error { return sendAll(c, get(g), lines(heldLongHeadBytes)) }}
	// requests with large heads whose bodies do not come.
	heldRequests = kind{crowd: 800, send: func(c io.Writer, g target) error {
		return sendAll(c, strings.TrimSuffix(post(g, heldBodyBytes), "\r\n"), lines(heldHeadBytes), "\r\n")
	}}
	// the same with heads of as many fields as fit, each of which costs far more than its bytes once it is parsed.
	tinyFields = kind{crowd: 800, send: func(c io.Writer, g target) error {
		return sendAll(c, strings.TrimSuffix(post(g, heldBodyBytes), "\r\n"), shortLines(heldHeadBytes), "\r\n")
	}}
	silent = kind{crowd: 1500, send: func(io.Writer, target) error { return nil }}
	// idle clients keep their connections after a request.
	idle   = kind{crowd: 1500, send: func(c io.Writer, g target) error { return sendAll(c, get(g), "\r\n") }}
	bodies = kind{crowd: 200, send: func(c io.Writer, g target) error {
		return sendAll(c, post(g, heldBodyBytes), repeat("b", heldBodyBytes-1))
	}}
	// dense bodies are whole, and hold as many elements as their size allows.
	denseBodies = kind{crowd: 40, send: func(c io.Writer, g target) error {
		const begin, element, end = `{"version":9,"routes":[`, `{},`, `{}]}`
		body := begin + repeat(element, (heldBodyBytes-len(begin)-len(end))/len(element)) + end
		return sendAll(c, post(g, len(body)), body)
	}}
	// compressed bodies are small, and within the limit on a message between processes once they are decompressed.
	compressedBodies = kind{crowd: 10, send: func(c io.Writer, g target) error {
		body := texts.get("gzip", func() string { return compress(compressedBytes) })
		return sendAll(c, strings.TrimSuffix(post(g, len(body)), "\r\n"), "Content-Encoding: gzip\r\n\r\n", body)
	}}
	endlessBodies = kind{crowd: 200, send: func(c io.Writer, g target) error {
		return sendAll(c, post(g, -1), repeat("400\r\n"+strings.Repeat("b", kib)+"\r\n", endlessBytes/kib))
	}}
	endlessTrailers = kind{crowd: 800, send: func(c io.Writer, g target) error {
		return sendAll(c, post(g, -1), "0\r\n", lines(endlessBytes))
	}}
	unreadResponses = kind{crowd: 800, deaf: true, send: func(c io.Writer, g target) error {
		return sendAll(c, strings.Repeat(get(g)+"\r\n", unreadRequests))
	}}
	// names are whole requests that are refused, each with names that no other has.
	names = kind{crowd: 40, send: func(c io.Writer, g target) error {
		for range namedRequests {
			id := uuid.NewString()
			if err := sendAll(c, fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: %s\r\n", g.named, id, g.host), standin.RawHeaders(id), namesOf(id), "\r\n"); err != nil {
				return err
			}
		}
		return nil
	}}
	http2Heads = kind{crowd: 100, send: func(c io.Writer, g target) error {
		// HEADERS and CONTINUATION without END_HEADERS.
		block := headerBlock(endlessBytes, g)
		if err := sendAll(c, http2Preface, frame(frameHeaders, 0, 1, block[:frameBytes])); err != nil {
			return err
		}
		for rest := block[frameBytes:]; len(rest) > frameBytes; rest = rest[frameBytes:] {
			if err := sendAll(c, frame(frameContinuation, 0, 1, rest[:frameBytes])); err != nil {
				return err
			}
		}
		return nil
	}}
	http2Streams = kind{crowd: 100, send: func(c io.Writer, g target) error {
		if err := sendAll(c, http2Preface); err != nil {
			return err
		}
		for i := range heldStreams {
			// END_HEADERS without END_STREAM: a body is to follow.
			if err := sendAll(c, frame(frameHeaders, flagEndHeaders, uint32(2*i+1), headerBlock(heldHeadBytes, g))); err != nil {
				return err
			}
		}
		return nil
	}}
)

// get returns the head of a GET request without its end.
func get(g target) string {
	path := g.probe
	if path == "" {
		path = g.post
	}
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s", path, g.host, standin.RawHeaders("a"))
}

// post returns the head of a POST request whose body has the length, or comes in chunks if that is below zero.
func post(g target, length int) string {
	framing := fmt.Sprintf("Content-Length: %d\r\n", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	if g.contentType != "" {
		framing += "Content-Type: " + g.contentType + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n", g.post, g.host, standin.RawHeaders("a"), framing)
}

// namesOf returns headers in which clients name things, with values that begin with the id.
func namesOf(id string) string {
	var out strings.Builder
	for name, begin := range standin.NamingHeaders {
		fmt.Fprintf(&out, "%s: %s%s%s\r\n", name, begin, id, strings.Repeat("n", nameBytes))
	}
	return out.String()
}

// lines returns header lines with different names, n bytes or a little less.
func lines(n int) string { return repeatLines(n, "%05x: "+strings.Repeat("v", lineBytes-9)+"\r\n") }

// shortLines is lines with lines that are as short as can be.
func shortLines(n int) string { return repeatLines(n, "%x:\r\n") }

func repeatLines(n int, format string) string {
	return texts.get(fmt.Sprint(n, format), func() string {
		var out strings.Builder
		for i := 0; ; i++ {
			line := fmt.Sprintf(format, i)
			if out.Len()+len(line) > n {
				return out.String()
			}
			out.WriteString(line)
		}
	})
}

func repeat(text string, n int) string {
	return texts.get(fmt.Sprint(n, text), func() string { return strings.Repeat(text, n) })
}

// textCache holds texts that many clients send.
type textCache struct {
	mu    sync.Mutex
	texts map[string]string
}

var texts = textCache{texts: map[string]string{}}

// get returns the text with the key, which is made once.
func (c *textCache) get(key string, text func() string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.texts[key]; !ok {
		c.texts[key] = text()
	}
	return c.texts[key]
}

// compress returns n zeros, compressed.
func compress(n int) string {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writes to a buffer never fail.
	_, _ = w.Write(make([]byte, n))
	_ = w.Close()
	return out.String()
}

func sendAll(c io.Writer, parts ...string) error {
	for _, p := range parts {
		if _, err := io.WriteString(c, p); err != nil {
			return err
		}
	}
	return nil
}

// HTTP/2 frames of RFC 9113.
const (
	frameHeaders      = 1
	frameContinuation = 9
	flagEndHeaders    = 4
	frameBytes        = 16 * kib
	// http2Preface is the preface of a connection and an empty SETTINGS frame.
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
)

func frame(kind, flags byte, stream uint32, payload string) string {
	head := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags, 0, 0, 0, 0}
	binary.BigEndian.PutUint32(head[5:], stream)
	return string(head) + payload
}

// headerBlock returns the fields of a POST request to the target, with short literal fields of different names up to n bytes.
func headerBlock(n int, g target) string {
	return texts.get(fmt.Sprint("block", n, g.post, g.host, g.contentType), func() string { return newHeaderBlock(n, g) })
}

func newHeaderBlock(n int, g target) string {
	var out strings.Builder
	field := func(name, value string) {
		out.WriteByte(0)
		for _, s := range []string{name, value} {
			out.WriteByte(byte(len(s)))
			out.WriteString(s)
		}
	}
	field(":method", "POST")
	field(":scheme", "http")
	field(":path", g.post)
	field(":authority", g.host)
	if g.contentType != "" {
		field("content-type", g.contentType)
	}
	for i := 0; out.Len()+maxFieldBytes <= n; i++ {
		field(fmt.Sprintf("%x", i), "")
	}
	return out.String()
}

// maxFieldBytes is the size of the largest short field.
const maxFieldBytes = 11

// crowd is a crowd of clients at one target.
type crowd struct {
	target target
	kind   kind
	stop   context.CancelFunc
	done   sync.WaitGroup
	// placed counts the clients that have not sent everything for the first time.
	placed sync.WaitGroup
}

// gather starts a crowd, and returns once all clients have sent what they send.
func gather(ctx context.Context, g target, k kind) *crowd {
	ctx, cancel := context.WithCancel(ctx)
	c := &crowd{target: g, kind: k, stop: cancel}
	c.placed.Add(k.crowd)
	for range k.crowd {
		c.done.Go(func() { c.attack(ctx) })
	}
	all := make(chan struct{})
	go func() {
		c.placed.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(placeTimeout):
	}
	return c
}

// disperse closes all connections of the crowd.
func (c *crowd) disperse() {
	c.stop()
	c.done.Wait()
}

// attack is one client, which connects again where its connection is closed.
func (c *crowd) attack(ctx context.Context) {
	var once sync.Once
	placed := func() { once.Do(c.placed.Done) }
	defer placed()
	for range maxRounds {
		c.round(ctx, placed)
		select {
		case <-ctx.Done():
			return
		case <-time.After(roundInterval):
		}
	}
}

func (c *crowd) round(ctx context.Context, placed func()) {
	conn, err := net.DialTimeout("tcp4", c.target.address, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if !c.kind.deaf {
		// What a server responds before it has read everything must be read, or it cannot end.
		var reading sync.WaitGroup
		reading.Go(func() { _, _ = io.Copy(io.Discard, conn) })
		defer reading.Wait()
	}
	err = c.kind.send(conn, c.target)
	placed()
	if err != nil {
		conn.Close()
		return
	}
	if c.kind.deaf {
		<-ctx.Done()
	}
}

// usage watches what a process uses while clients attack it.
type usage struct {
	process int
	stop    chan struct{}
	done    sync.WaitGroup
	// descriptors and memory, in bytes, are the largest numbers seen. Memory is what is resident and what has arrived on
	// the connections at the address and has not been read, which counts as memory of the machine.
	descriptors, memory int
	// unread is the part of memory that has not been read.
	unread int
}

// watchUsage resets the process's peak of memory, and watches what it uses until end.
func watchUsage(t *testing.T, process int, address string) *usage {
	t.Helper()
	// 5 resets the peak, as proc(5) says.
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", process), []byte("5"), 0); err != nil {
		t.Fatal(err)
	}
	u := &usage{process: process, stop: make(chan struct{})}
	u.done.Go(func() {
		for {
			u.look(address)
			select {
			case <-u.stop:
				return
			case <-time.After(usageInterval):
			}
		}
	})
	return u
}

// look records what the process uses now.
func (u *usage) look(address string) {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.process))
	u.descriptors = max(u.descriptors, len(open))
	resident, err := statusKB(u.process, "VmRSS:")
	if waiting := unread(address); err == nil && resident*kib+waiting > u.memory {
		u.memory, u.unread = resident*kib+waiting, waiting
	}
}

// end returns the peak of memory in bytes and the peak of descriptors.
func (u *usage) end() (memory, open int, err error) {
	close(u.stop)
	u.done.Wait()
	peak, err := statusKB(u.process, "VmHWM:")
	return max(peak*kib, u.memory), u.descriptors, err
}

// statusKB reads a size in KB from the status of a process.
func statusKB(process int, name string) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), name)
	var kb int
	if _, err := fmt.Sscan(rest, &kb); !found || err != nil {
		return 0, errors.New("no " + name + " in the status of the process")
	}
	return kb, nil
}

// unread returns how many bytes wait to be read on the connections at the local address.
func unread(address string) int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local, sum := procAddress(address), 0
	for line := range strings.Lines(string(text)) {
		const localField, stateField, queuesField, established = 1, 3, 4, "01"
		f := strings.Fields(line)
		if len(f) <= queuesField || f[localField] != local || f[stateField] != established {
			continue
		}
		var received int
		_, queue, _ := strings.Cut(f[queuesField], ":")
		if _, err := fmt.Sscanf(queue, "%x", &received); err == nil {
			sum += received
		}
	}
	return sum
}

// procAddress returns an IPv4 address as /proc/net/tcp writes it.
func procAddress(address string) string {
	a := netip.MustParseAddrPort(address)
	ip := a.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())
}
