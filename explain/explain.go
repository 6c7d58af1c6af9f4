package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Log is one log to be searched.
type Log struct {
	Name string
	Read io.Reader
}

// Trace is what the logs tell of a request.
type Trace struct {
	ID         string
	Lines      []*Line // of the request itself, in order
	Below      []*Line // answers to calls that were made for it, as far as ids or times tell
	Context    []*Line // changes of belief on the VMs concerned, from just before it to its end
	Unreadable int     // lines of all logs that could not be read
	Dropped    []*Line // places where the logs say that lines are missing
	Causes     []string

	answers map[string]*Line    // to requests that a daemon took for calls, by their ids
	calls   map[string][]string // the same ids, by the id of the request that made them
}

// contextBefore is how long before a request changes of belief still explain it.
const contextBefore = 3 * time.Second

// Explain searches logs for a request. Lines of calls below it are found if their
// ids begin with its id and a dot, as on platforms whose ids tell, and otherwise if a
// daemon took them for calls of it.
func Explain(id string, logs []Log) (*Trace, error) {
	s := &Trace{ID: id, answers: map[string]*Line{}, calls: map[string][]string{}}
	var events []*Line
	for _, log := range logs {
		unreadable, err := ReadLog(log.Name, log.Read, func(l *Line) { s.sort(l, &events) })
		if err != nil {
			return nil, fmt.Errorf("log %s: %w", log.Name, err)
		}
		s.Unreadable += unreadable
	}
	if len(s.Below) == 0 {
		s.addCalls(id, 1, map[string]bool{id: true})
	}
	for _, list := range [][]*Line{s.Lines, s.Below} {
		slices.SortStableFunc(list, byTime)
	}
	s.relate(events)
	s.Causes = causes(s)
	return s, nil
}

func byTime(a, b *Line) int {
	if c := a.At.Compare(b.At); c != 0 || a.Source != b.Source {
		return c
	}
	return a.Order - b.Order
}

// sort puts a line where it belongs.
func (s *Trace) sort(l *Line, events *[]*Line) {
	request := l.Field("request")
	if parent := l.Field("parent"); parent != "" {
		s.calls[parent] = append(s.calls[parent], request)
	}
	switch {
	case request == s.ID:
		s.Lines = append(s.Lines, l)
	case strings.HasPrefix(request, s.ID+"."):
		if l.Event == "answer" {
			l.Depth = strings.Count(strings.TrimPrefix(request, s.ID), ".")
			s.Below = append(s.Below, l)
		}
	case request == "":
		*events = append(*events, l)
	case l.Event == "answer":
		s.answers[request] = l
	}
}

// addCalls adds the answers to the calls that a request made, and to theirs.
func (s *Trace) addCalls(id string, depth int, seen map[string]bool) {
	for _, call := range s.calls[id] {
		if seen[call] {
			continue
		}
		seen[call] = true
		if l := s.answers[call]; l != nil {
			l.Depth = depth
			s.Below = append(s.Below, l)
		}
		s.addCalls(call, depth+1, seen)
	}
}

// relate keeps the events of the VMs that the request passed, around its time.
func (s *Trace) relate(events []*Line) {
	if len(s.Lines) == 0 {
		return
	}
	from, to := s.Lines[0].At.Add(-contextBefore), s.Lines[len(s.Lines)-1].At
	sources := map[string]bool{}
	for _, l := range s.Lines {
		sources[l.Source] = true
	}
	for _, l := range events {
		if !sources[l.Source] || l.At.Before(from) || l.At.After(to) {
			continue
		}
		if l.Event == "decisions not written" {
			s.Dropped = append(s.Dropped, l)
			continue
		}
		s.Context = append(s.Context, l)
	}
	slices.SortStableFunc(s.Context, byTime)
}

// answered is the line of the final answer, nil if the logs have none.
func (s *Trace) answered() *Line {
	for _, l := range slices.Backward(s.Lines) {
		if l.Event == "answer" {
			return l
		}
	}
	return nil
}

// Print writes the story.
func (s *Trace) Print(w io.Writer) error {
	var b strings.Builder
	if len(s.Lines) == 0 {
		fmt.Fprintf(&b, "no line names request %s\n", s.ID)
	}
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "%s  %-24s %-10s %s\n", l.At.Format("15:04:05.000"), l.Source, l.Event, details(l))
	}
	if len(s.Below) > 0 {
		fmt.Fprintf(&b, "\ncalls below it:\n")
		for _, l := range s.Below {
			fmt.Fprintf(&b, "%s  %-24s %-10s %s\n", l.At.Format("15:04:05.000"), l.Source, strings.TrimPrefix(l.Field("request"), s.ID+"."), details(l))
		}
	}
	if len(s.Context) > 0 {
		fmt.Fprintf(&b, "\non the same VMs, from %s before it:\n", contextBefore)
		for _, l := range s.Context {
			fmt.Fprintf(&b, "%s  %-24s %s %s\n", l.At.Format("15:04:05.000"), l.Source, l.Event, details(l))
		}
	}
	fmt.Fprintf(&b, "\nlikely cause:\n")
	for _, c := range s.Causes {
		fmt.Fprintf(&b, "- %s\n", c)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// details lists the fields of a line, without those that all lines share.
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
