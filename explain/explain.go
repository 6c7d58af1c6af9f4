package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Log is the log of one or more processes.
type Log struct {
	Name string
	Read io.Reader
}

// Trace holds what the logs contain about a request.
type Trace struct {
	ID              string
	Lines           []*Line // of the request itself, in order
	DownstreamCalls []*Line // responses to downstream calls of it, as far as ids or parents show them
	RelatedEvents   []*Line // events on the VMs of its lines, from eventWindow before its start to its end
	Unreadable      int     // lines of all logs that could not be read
	Dropped         []*Line // log lines with the numbers of decisions that were not written
	Causes          []string

	responses map[string]*Line    // lines of responses to other requests, by request id
	callIDs   map[string][]string // ids of calls, by the id of their parent request
}

// eventWindow is the time before the start of a request from which events are related to it.
const eventWindow = 3 * time.Second

// Explain collects the lines of a request from logs. Downstream calls are found by their ids if
// these begin with the id of the request and a dot, as on some platforms, and otherwise by the
// parent that daemons logged.
func Explain(id string, logs []Log) (*Trace, error) {
	t := &Trace{ID: id, responses: map[string]*Line{}, callIDs: map[string][]string{}}
	var events []*Line
	for _, log := range logs {
		unreadable, err := ReadLog(log.Name, log.Read, func(l *Line) { t.addLine(l, &events) })
		if err != nil {
			return nil, fmt.Errorf("log %s: %w", log.Name, err)
		}
		t.Unreadable += unreadable
	}
	if len(t.DownstreamCalls) == 0 {
		t.addDownstreamCalls(id, 1, map[string]bool{id: true})
	}
	for _, list := range [][]*Line{t.Lines, t.DownstreamCalls} {
		slices.SortStableFunc(list, byTime)
	}
	t.addRelatedEvents(events)
	t.Causes = causes(t)
	return t, nil
}

func byTime(a, b *Line) int {
	if c := a.At.Compare(b.At); c != 0 || a.Source != b.Source {
		return c
	}
	return a.Order - b.Order
}

// addLine adds a line to the trace if it is about the request or one of its calls, and to events
// if it is about no request.
func (t *Trace) addLine(l *Line, events *[]*Line) {
	request := l.Field("request")
	if parent := l.Field("parent"); parent != "" {
		t.callIDs[parent] = append(t.callIDs[parent], request)
	}
	switch {
	case request == t.ID:
		t.Lines = append(t.Lines, l)
	case strings.HasPrefix(request, t.ID+"."):
		if l.Event == "answer" {
			l.Depth = strings.Count(strings.TrimPrefix(request, t.ID), ".")
			t.DownstreamCalls = append(t.DownstreamCalls, l)
		}
	case request == "":
		*events = append(*events, l)
	case l.Event == "answer":
		t.responses[request] = l
	}
}

// addDownstreamCalls adds the responses to the calls of a request and, recursively, to the calls
// that these issued.
func (t *Trace) addDownstreamCalls(id string, depth int, seen map[string]bool) {
	for _, call := range t.callIDs[id] {
		if seen[call] {
			continue
		}
		seen[call] = true
		if l := t.responses[call]; l != nil {
			l.Depth = depth
			t.DownstreamCalls = append(t.DownstreamCalls, l)
		}
		t.addDownstreamCalls(call, depth+1, seen)
	}
}

// addRelatedEvents adds the events within eventWindow on the VMs that have lines of the request.
func (t *Trace) addRelatedEvents(events []*Line) {
	if len(t.Lines) == 0 {
		return
	}
	from, to := t.Lines[0].At.Add(-eventWindow), t.Lines[len(t.Lines)-1].At
	sources := map[string]bool{}
	for _, l := range t.Lines {
		sources[l.Source] = true
	}
	for _, l := range events {
		if !sources[l.Source] || l.At.Before(from) || l.At.After(to) {
			continue
		}
		if l.Event == "decisions not written" {
			t.Dropped = append(t.Dropped, l)
			continue
		}
		t.RelatedEvents = append(t.RelatedEvents, l)
	}
	slices.SortStableFunc(t.RelatedEvents, byTime)
}

// finalResponse returns the last line with a response to the request, nil if there is none.
func (t *Trace) finalResponse() *Line {
	for _, l := range slices.Backward(t.Lines) {
		if l.Event == "answer" {
			return l
		}
	}
	return nil
}

// Print writes the lines of the trace and the likely causes as text.
func (t *Trace) Print(w io.Writer) error {
	var b strings.Builder
	if len(t.Lines) == 0 {
		fmt.Fprintf(&b, "no log contains a line of request %s\n", t.ID)
	}
	for _, l := range t.Lines {
		fmt.Fprintf(&b, "%s  %-24s %-10s %s\n", l.At.Format("15:04:05.000"), l.Source, l.Event, details(l))
	}
	if len(t.DownstreamCalls) > 0 {
		fmt.Fprintf(&b, "\ndownstream calls:\n")
		for _, l := range t.DownstreamCalls {
			fmt.Fprintf(&b, "%s  %-24s %-10s %s\n", l.At.Format("15:04:05.000"), l.Source, strings.TrimPrefix(l.Field("request"), t.ID+"."), details(l))
		}
	}
	if len(t.RelatedEvents) > 0 {
		fmt.Fprintf(&b, "\nevents on the same VMs, from %s before the request:\n", eventWindow)
		for _, l := range t.RelatedEvents {
			fmt.Fprintf(&b, "%s  %-24s %s %s\n", l.At.Format("15:04:05.000"), l.Source, l.Event, details(l))
		}
	}
	fmt.Fprintf(&b, "\nlikely cause:\n")
	for _, c := range t.Causes {
		fmt.Fprintf(&b, "- %s\n", c)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// details formats the fields of a line, without request and depth.
func details(l *Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "request" && name != "depth" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+"="+l.Fields[name])
	}
	return strings.Join(parts, " ")
}
