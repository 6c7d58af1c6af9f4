package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playLateReport checks the rule DRAIN: a backend sends DELETE, which is confirmed, and goes on
// serving for some seconds. Its daemon is killed and restarted, and a status report that the
// backend wrote before its DELETE arrives late. No new request may reach the backend then.
func playLateReport(ctx context.Context, r *record, trouble bool) (string, error) {
	d, err := newDeployment(r, "orders", "orders", "shop")
	if err != nil {
		return "", err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return "", err
	}
	var backends []*backend
	for i, v := range d.daemons {
		b, err := startBackend(v, fmt.Sprintf("i-%s-%d", v.service, i+1), 300*time.Millisecond)
		if err != nil {
			return "", err
		}
		defer b.exit()
		backends = append(backends, b)
	}
	if err := d.putConfig(ctx, 0, configuration(1, "orders", "shop")); err != nil {
		return "", err
	}
	if err := d.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // all machines are in touch after stable_window
	leaver, entry := backends[0], d.daemons[2]
	if err := warmUp(entry, leaver); err != nil {
		return "", err
	}

	late := leaver.nextReport("ready") // on its way from now on
	time.Sleep(100 * time.Millisecond)
	if status := leaver.leave(); status != http.StatusOK {
		return "", fmt.Errorf("DELETE was answered %d", status)
	}
	confirmedAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := leaver.vm.restart(syscall.SIGKILL); err != nil {
			return "", err
		}
	}
	time.Sleep(time.Until(confirmedAt.Add(2500 * time.Millisecond)))
	leaver.sendReport(late)

	// The daemon beside the leaver is in touch again stable_window after its start.
	inTouchAt := confirmedAt.Add(drainBound)
	if at := leaver.vm.runningSince().Add(stableWindow); at.After(inTouchAt) {
		inTouchAt = at
	}
	time.Sleep(time.Until(inTouchAt.Add(200 * time.Millisecond)))
	answers := sendOrders(entry, 4*time.Second, 40*time.Millisecond)
	leaver.exit() // some seconds after its confirmation
	return judgeLateReport(r, leaver, confirmedAt, inTouchAt, answers())
}

// warmUp sends orders, some at the same time, until the leaver has got one of them.
func warmUp(entry *vm, leaver *backend) error {
	for range 10 {
		var pending sync.WaitGroup
		for range 10 {
			pending.Go(func() { send(entry, "orders", "non_idempotent", "warm-up") })
		}
		pending.Wait()
		if len(leaver.arrivalsSoFar()) > 0 {
			return nil
		}
	}
	return errors.New("no request reached the backend before it left")
}

// sendOrders sends orders at an interval for some time. The function that it returns waits for the
// answers to all of them.
func sendOrders(entry *vm, length, interval time.Duration) func() []answer {
	var mu sync.Mutex
	var answers []answer
	var pending sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		pending.Go(func() {
			a := send(entry, "orders", "non_idempotent", "order")
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	return func() []answer {
		pending.Wait()
		return answers
	}
}

// judgeLateReport counts the requests that reached the backend later than the drain time after its
// confirmation, sent and forwarded by machines in touch.
func judgeLateReport(r *record, leaver *backend, confirmedAt, inTouchAt time.Time, answers []answer) (string, error) {
	status := map[string]int{}
	for _, a := range answers {
		status[a.id] = a.status
	}
	reached, unserved := 0, 0
	for _, a := range leaver.arrivalsSoFar() {
		if a.at.Sub(confirmedAt) <= drainBound || a.at.Before(inTouchAt) {
			continue
		}
		reached++
		if status[a.id] != http.StatusOK {
			unserved++
		}
	}
	r.add("result", "%d of %d orders reached %s more than %s after its DELETE was confirmed; %d of them got no success", reached, len(answers), leaver.id, drainBound, unserved)
	if reached == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d requests reached a backend more than %s after the confirmation that it is gone (%d without a success)", reached, drainBound, unserved), nil
}
