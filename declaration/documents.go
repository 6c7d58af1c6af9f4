package declaration

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// maxDocumentProblems limits the number of problems in the result of an invalid
// change, since the replicas store the result.
const maxDocumentProblems = 100

// Documents encodes services as the documents of a change, sorted by name.
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
// on its order, since all replicas that apply a change must compute the same
// result. Warnings are left out.
func CheckDocuments(docs []*api.ServiceDocument) []string {
	return NewDocumentChecker().Check(docs)
}

// DocumentChecker returns the same results as CheckDocuments and caches the
// per-document results of the last set, so that only changed documents are parsed
// again. A replica that restarts checks hundreds of changes from its log; parsing
// 240 declarations for each of them would take minutes. It is safe for concurrent
// use.
type DocumentChecker struct {
	mu    sync.Mutex
	cache map[string]checkedDocument // by service
}

// checkedDocument is a document with the result of the checks of this document alone.
type checkedDocument struct {
	json     []byte
	service  Service
	parsed   bool     // it is valid JSON of a valid declaration with the expected name
	problems Problems // errors only
}

// NewDocumentChecker returns a checker with an empty cache.
func NewDocumentChecker() *DocumentChecker {
	return &DocumentChecker{cache: map[string]checkedDocument{}}
}

// Check validates a set as CheckDocuments does.
func (c *DocumentChecker) Check(docs []*api.ServiceDocument) []string {
	docs = slices.Clone(docs)
	slices.SortStableFunc(docs, compareDocuments)
	set := make([]Service, 0, len(docs))
	var parseErrors, problems Problems
	for _, d := range c.checkEach(docs) {
		set = append(set, d.service)
		if !d.parsed {
			parseErrors = append(parseErrors, d.problems...)
		}
		problems = append(problems, d.problems...)
	}
	if len(parseErrors) > 0 {
		return formatProblems(parseErrors)
	}
	setChecker := newChecker(set, nil)
	setChecker.checkSet()
	problems = append(problems, setChecker.problems.Errors()...)
	problems.Sort()
	return formatProblems(problems)
}

// checkEach checks each document on its own. It takes the results of unchanged
// documents from the cache and evicts documents that are no longer in the set.
func (c *DocumentChecker) checkEach(docs []*api.ServiceDocument) []checkedDocument {
	c.mu.Lock()
	defer c.mu.Unlock()
	checked := make([]checkedDocument, 0, len(docs))
	next := make(map[string]checkedDocument, len(docs))
	for _, doc := range docs {
		d, ok := c.cache[doc.GetService()]
		if !ok || !bytes.Equal(d.json, doc.GetJson()) {
			d = checkDocument(doc)
		}
		checked = append(checked, d)
		next[doc.GetService()] = d
	}
	c.cache = next
	return checked
}

// checkDocument checks a document on its own, without the rest of the set.
func checkDocument(doc *api.ServiceDocument) checkedDocument {
	service, _, problems := Parse(doc.GetService(), doc.GetJson())
	d := checkedDocument{json: doc.GetJson(), service: service, problems: problems.Errors()}
	if len(d.problems) == 0 && service.Name != doc.GetService() {
		p := Problem{Field: "service", Message: fmt.Sprintf("the document of %q declares %q", doc.GetService(), service.Name)}
		p.File = doc.GetService()
		d.problems = Problems{p}
	}
	if len(d.problems) > 0 {
		return d
	}
	d.parsed = true
	checker := newChecker([]Service{service}, nil)
	checker.checkService(0, service)
	d.problems = checker.problems.Errors()
	return d
}

// formatProblems returns one line for each problem. It truncates a long list, since
// the replicas store the result.
func formatProblems(problems Problems) []string {
	var lines []string
	for _, p := range problems[:min(len(problems), maxDocumentProblems)] {
		lines = append(lines, p.String())
	}
	if more := len(problems) - maxDocumentProblems; more > 0 {
		lines = append(lines, fmt.Sprintf("%d more problems", more))
	}
	return lines
}

func compareDocuments(a, b *api.ServiceDocument) int {
	if byName := strings.Compare(a.GetService(), b.GetService()); byName != 0 {
		return byName
	}
	return strings.Compare(string(a.GetJson()), string(b.GetJson()))
}
