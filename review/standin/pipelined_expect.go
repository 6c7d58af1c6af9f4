package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// pipelinedRounds is the number of connections on which the case is played.
const pipelinedRounds = 10

// playPipelinedExpect checks the rule MIXED: a client sends an idempotent request and, before the
// answer has arrived, a second one whose body waits for 100 Continue. Both answers must be whole.
func playPipelinedExpect(ctx context.Context, r *record, trouble bool) (string, error) {
	d, err := newDeployment(r, "lookups", "shop")
	if err != nil {
		return "", err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return "", err
	}
	for i, v := range d.daemons {
		b, err := startBackend(v, fmt.Sprintf("i-%s-%d", v.service, i+1), 100*time.Millisecond)
		if err != nil {
			return "", err
		}
		defer b.exit()
	}
	if err := d.putConfig(ctx, 0, configuration(1, "lookups", "shop")); err != nil {
		return "", err
	}
	if err := d.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // all machines are in touch after stable_window
	wrong := 0
	for n := range pipelinedRounds {
		problem, err := pipelineTwo(d.daemons[1], fmt.Sprintf("round-%d", n+1), trouble)
		if err != nil {
			return "", err
		}
		r.add("answer", "round %d: %s", n+1, problem)
		if problem != "both answers are whole" {
			wrong++
		}
	}
	if wrong == 0 {
		return "", nil
	}
	return fmt.Sprintf("on %d of %d connections the answer to the first request has other bytes than the backend's", wrong, pipelinedRounds), nil
}

// pipelineTwo sends two requests on one connection and checks their answers. The body of the second
// waits for 100 Continue if expect is set.
func pipelineTwo(v *vm, name string, expect bool) (string, error) {
	c, err := net.DialTimeout("tcp", v.addr(portIngress), time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }() // the exchanges have ended
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	first, second, payload := name+"-first", name+"-second", "0123456789"
	v.d.record.add("send", "%s GET, answer of %d bytes; %s POST, expects 100 Continue: %t", first, 64*largeRepeat, second, expect)
	head := "Host: lookups.example\r\n" + names.Deadline + ": 6000\r\n" + names.RequestID + ": "
	if _, err := fmt.Fprintf(c, "GET /idempotent%s HTTP/1.1\r\n%s%s\r\n\r\n", largePath, head, first); err != nil {
		return "", err
	}
	reader := bufio.NewReader(c)
	if _, err := reader.Peek(1); err != nil { // the first answer has begun
		return "no answer to the first request", nil
	}
	sent := fmt.Sprintf("POST /idempotent/1 HTTP/1.1\r\n%s%s\r\nContent-Length: %d\r\n", head, second, len(payload))
	if expect {
		sent += "Expect: 100-continue\r\n\r\n"
	} else {
		sent += "\r\n" + payload
	}
	if _, err := io.WriteString(c, sent); err != nil {
		return "", err
	}
	if problem := readAnswer(reader, first, strings.Repeat(answerBody(first, nil), largeRepeat)); problem != "" {
		return problem, nil
	}
	if expect { // a client may send its body without the interim answer after some time
		if _, err := io.WriteString(c, payload); err != nil {
			return "", err
		}
	}
	if problem := readAnswer(reader, second, answerBody(second, []byte(payload))); problem != "" {
		return problem, nil
	}
	return "both answers are whole", nil
}

// readAnswer reads one answer, after interim ones, and returns what is wrong with it.
func readAnswer(reader *bufio.Reader, id, want string) string {
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Sprintf("the answer to %s cannot be read: %v", id, err)
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			return fmt.Sprintf("the answer to %s is incomplete", id)
		case resp.StatusCode != http.StatusOK:
			return fmt.Sprintf("%s got %d", id, resp.StatusCode)
		case resp.Header.Get(names.RequestID) != id:
			return fmt.Sprintf("the answer to %s belongs to %s", id, resp.Header.Get(names.RequestID))
		case string(body) != want:
			at := 0
			for at < len(body) && body[at] == want[at] {
				at++
			}
			return fmt.Sprintf("the body of %s, complete by its length, differs from byte %d on: %.40q", id, at, body[at:])
		}
		return ""
	}
}
