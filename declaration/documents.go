package declaration

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// maxDocumentProblems bounds the answer to an invalid change, since the
// replicas store it.
const maxDocumentProblems = 100

// Documents encodes services for a change, ordered by name.
func Documents(set []Service) []*api.ServiceDocument {
	docs := make([]*api.ServiceDocument, 0, len(set))
	for _, s := range set {
		docs = append(docs, &api.ServiceDocument{Service: s.Name, Json: Encode(s)})
	}
	slices.SortStableFunc(docs, compareDocuments)
	return docs
}

// CheckDocuments validates a whole set of documents and returns one line for
// each error, none if the set is valid. The lines depend only on the set, not
// on its order: replicas apply the same change and must give the same answer.
// Warnings are left out.
func CheckDocuments(docs []*api.ServiceDocument) []string {
	return NewDocumentChecker().Check(docs)
}

// DocumentChecker gives the answers of CheckDocuments and remembers the
// documents of the last set, so that a change costs little more than the check
// of what it changes. A replica that restarts checks hundreds of changes
// again; reading 240 declarations for each of them would take it minutes. It is
// safe for concurrent use.
type DocumentChecker struct {
	mu   sync.Mutex
	held map[string]document // by service
}

// document is a document with the result of the checks that concern it alone.
type document struct {
	json     []byte
	service  Service
	readable bool
	problems Problems // errors only
}

// NewDocumentChecker returns a checker that remembers nothing yet.
func NewDocumentChecker() *DocumentChecker {
	return &DocumentChecker{held: map[string]document{}}
}

// Check is CheckDocuments.
func (c *DocumentChecker) Check(docs []*api.ServiceDocument) []string {
	docs = slices.Clone(docs)
	slices.SortStableFunc(docs, compareDocuments)
	set := make([]Service, 0, len(docs))
	var unreadable, problems Problems
	for _, d := range c.read(docs) {
		set = append(set, d.service)
		if !d.readable {
			unreadable = append(unreadable, d.problems...)
		}
		problems = append(problems, d.problems...)
	}
	if len(unreadable) > 0 {
		return lines(unreadable)
	}
	whole := newChecker(set, nil)
	whole.together()
	problems = append(problems, whole.problems.Errors()...)
	problems.Sort()
	return lines(problems)
}

// read takes what is held of unchanged documents and forgets all others.
func (c *DocumentChecker) read(docs []*api.ServiceDocument) []document {
	c.mu.Lock()
	defer c.mu.Unlock()
	read := make([]document, 0, len(docs))
	next := make(map[string]document, len(docs))
	for _, doc := range docs {
		d, ok := c.held[doc.GetService()]
		if !ok || !bytes.Equal(d.json, doc.GetJson()) {
			d = readDocument(doc)
		}
		read = append(read, d)
		next[doc.GetService()] = d
	}
	c.held = next
	return read
}

func readDocument(doc *api.ServiceDocument) document {
	s, _, problems := Parse(doc.GetService(), doc.GetJson())
	d := document{json: doc.GetJson(), service: s, problems: problems.Errors()}
	if len(d.problems) == 0 && s.Name != doc.GetService() {
		p := Problem{Field: "service", Message: fmt.Sprintf("the document of %q declares %q", doc.GetService(), s.Name)}
		p.File = doc.GetService()
		d.problems = Problems{p}
	}
	if len(d.problems) > 0 {
		return d
	}
	d.readable = true
	c := newChecker([]Service{s}, nil)
	c.alone(0, s)
	d.problems = c.problems.Errors()
	return d
}

// lines cuts a long list, since the replicas store the answer.
func lines(problems Problems) []string {
	var out []string
	for _, p := range problems[:min(len(problems), maxDocumentProblems)] {
		out = append(out, p.String())
	}
	if more := len(problems) - maxDocumentProblems; more > 0 {
		out = append(out, fmt.Sprintf("%d more problems", more))
	}
	return out
}

func compareDocuments(a, b *api.ServiceDocument) int {
	if byName := strings.Compare(a.GetService(), b.GetService()); byName != 0 {
		return byName
	}
	return strings.Compare(string(a.GetJson()), string(b.GetJson()))
}
