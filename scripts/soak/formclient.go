package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"parsleyramp/platform/standin"
)

// formClient sends requests to one gateway, and uses each connection until it is gone.
type formClient struct {
	d      *driver
	n      *node
	counts *formCounts
	style  style
	random *rand.Rand

	conn   net.Conn
	reader *bufio.Reader
	// announced is set once the gateway has announced the close of the connection.
	announced bool
	// served counts the answers on the connection.
	served int
}

// pendingAttempt is one that was written, or begun to be.
type pendingAttempt struct {
	standin.Attempt
	request *http.Request
	// begun and sent are when its first and last bytes were written; sent is zero before.
	begun, sent time.Time
}

func (x *formClient) run(load context.Context) {
	for load.Err() == nil {
		c, err := net.Dial("tcp4", x.n.clientAddress)
		if err != nil {
			x.d.wait(keeperPause)
			continue
		}
		x.conn, x.reader, x.announced, x.served = c, bufio.NewReader(c), false, 0
		for load.Err() == nil && x.exchange() && x.d.wait(time.Duration(x.random.Int64N(int64(2*keeperPause)))) {
		}
		c.Close()
	}
}

// exchange sends requests and reads their answers. It reports whether the connection can be used
// again.
func (x *formClient) exchange() bool {
	n := 1
	if x.style == pipelining {
		n = pipelined
	}
	batch := make([]*pendingAttempt, n)
	for i := range batch {
		batch[i] = x.next()
	}
	x.write(batch)
	for i, a := range batch {
		resp, err := x.read(a)
		if err != nil {
			x.recordUnanswered(a, err, false)
			for _, rest := range batch[i+1:] {
				x.recordUnanswered(rest, err, true)
			}
			return false
		}
		x.served++
		x.announced = x.announced || resp.Close
		x.counts.count(x.style, x.d.s.checker.RunState(a.ID) != standin.NotRun, "", false)
	}
	return !x.announced || x.style == ignoringClose
}

// next returns the next attempt.
func (x *formClient) next() *pendingAttempt {
	a := x.d.randomAttempt(x.random)
	if x.random.IntN(2) == 0 {
		a.Work = time.Duration(x.random.Int64N(int64(maxFormWork)))
	}
	switch x.style {
	case slowBody:
		a.BodyTime = time.Duration(x.random.Int64N(int64(maxBodyTime)))
	case longStreams:
		for a.Kind != standin.Stream {
			a = x.d.randomAttempt(x.random)
		}
		a.Work = maxFormWork/2 + time.Duration(x.random.Int64N(int64(maxFormWork/2)))
	}
	// The address is valid.
	req, _ := a.Request(context.Background(), x.n.clientAddress)
	return &pendingAttempt{Attempt: a, request: req}
}

// write writes the attempts, whose connection may be closed meanwhile.
func (x *formClient) write(batch []*pendingAttempt) {
	begun := time.Now()
	var text strings.Builder
	for _, a := range batch {
		a.begun = begun
		if x.style == slowBody {
			if a.request.Write(x.conn) == nil {
				a.sent = time.Now()
			}
			return
		}
		// A builder takes everything.
		_ = a.request.Write(&text)
	}
	var err error
	if x.style == byteByByte {
		for i := 0; i < text.Len() && err == nil; i++ {
			_, err = io.WriteString(x.conn, text.String()[i:i+1])
			time.Sleep(time.Millisecond)
		}
	} else {
		_, err = io.WriteString(x.conn, text.String())
	}
	for _, a := range batch {
		if err == nil {
			a.sent = time.Now()
		}
	}
}

// read reads the answer to the attempt.
func (x *formClient) read(a *pendingAttempt) (*http.Response, error) {
	// It is longer than any request may take.
	if err := x.conn.SetReadDeadline(time.Now().Add(3 * requestTimeout)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(x.reader, a.request)
	if err != nil {
		return nil, err
	}
	from := io.Reader(resp.Body)
	if x.style == slowReading {
		from = &dribble{resp.Body}
	}
	_, err = io.Copy(io.Discard, from)
	return resp, err
}

// dribble reads few bytes at a time.
type dribble struct{ io.Reader }

func (d *dribble) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return d.Reader.Read(p[:min(len(p), 64)])
}

// recordUnanswered counts an attempt whose connection ended with err before its answer; behind is
// set if it was pipelined behind another one without an answer, which had to end the connection.
func (x *formClient) recordUnanswered(a *pendingAttempt, err error, behind bool) {
	ended, checker := time.Now(), x.d.s.checker
	x.d.awaitRunEnd(a.ID)
	state, worked := checker.RunState(a.ID), checker.RunEnd(a.ID)
	stoppedAt, _ := x.n.lastStop(a.begun)
	reason, lost := x.reason(a, ended, behind && !x.announced)
	x.counts.count(x.style, state != standin.NotRun, reason, lost)
	text := fmt.Sprintf("attempt %s (%s, %s, %s) at %s has no answer: %s; sent %v, ended %v, worked until %v after SIGTERM; answer %d on the connection, announced %t: %v",
		a.ID, a.Kind, x.style, state, x.n.name, reason, a.sent.Sub(stoppedAt), ended.Sub(stoppedAt), worked.Sub(stoppedAt), x.served+1, x.announced, err)
	if lost {
		// The logs of a run with a violation are kept.
		checker.RecordViolation("%s", text)
		return
	}
	x.d.logLine(text)
}

// reason returns why an attempt has no answer, and whether it is lost by that. behind is set if
// the one before it on the connection had none.
func (x *formClient) reason(a *pendingAttempt, ended time.Time, behind bool) (reason string, lost bool) {
	state, worked := x.d.s.checker.RunState(a.ID), x.d.s.checker.RunEnd(a.ID)
	stoppedAt, during := x.n.lastStop(a.begun)
	atEnd := during && (worked.IsZero() || worked.Sub(stoppedAt) >= x.d.s.size.grace*5/6) && a.sent.Sub(stoppedAt) <= excusedSent
	isStream := a.Kind == standin.Stream || a.Kind == standin.ResumableStream
	switch {
	case state == standin.NotRun && a.sent.IsZero():
		return "not sent whole", false
	case state == standin.NotRun && ended.Sub(a.sent) <= lossSlack:
		return "crossed the close", false
	case state == standin.NotRun && behind:
		return "behind one without an answer", false
	case state == standin.NotRun:
		return "not run, its connection ended later", true
	case state == standin.BrokenOff:
		return "broken off by the endpoint", false
	case ended.Sub(a.begun) >= standin.Timeout:
		return "timed out", false
	case isStream && atEnd:
		return "endpoint at work at the end", false
	}
	return state.String(), true
}
