package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	sentAt time.Time
	status int // 0 without a complete answer
}

var requestCounter atomic.Int64

// send sends one request on a new connection to the outbound address of a VM.
func send(v *vm, service, kind, payload string) answer {
	id := fmt.Sprintf("%08x%08x", time.Now().Unix(), requestCounter.Add(1))
	method := http.MethodGet
	if kind != "idempotent" {
		method = http.MethodPost
	}
	a := answer{id: id, sentAt: time.Now()}
	v.d.record.add("send", "%s %s %s to %s", id, method, service, v.name)
	a.status = exchange(v, service, kind, method, id, payload)
	if a.status == 0 {
		v.d.record.add("answer", "%s no complete answer", id)
	} else {
		v.d.record.add("answer", "%s %d", id, a.status)
	}
	return a
}

func exchange(v *vm, service, kind, method, id, payload string) int {
	req, err := http.NewRequest(method, "http://"+v.addr(portIngress)+"/"+kind+"/1", strings.NewReader(payload))
	if err != nil {
		return 0
	}
	req.GetBody = nil // a client doesn't repeat an attempt by itself
	req.Host = service + ".example"
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.Deadline, "5000")
	req.Close = true
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 6 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // read to its end or failed
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
