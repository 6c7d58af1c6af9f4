package declaration

import (
	"fmt"
	"slices"
	"strings"

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
	docs = slices.Clone(docs)
	slices.SortStableFunc(docs, compareDocuments)
	var lines []string
	set := make([]Service, 0, len(docs))
	for _, doc := range docs {
		s, problems := decodeDocument(doc)
		for _, p := range problems {
			lines = append(lines, p.String())
		}
		set = append(set, s)
	}
	if len(lines) == 0 {
		for _, p := range Check(set, nil).Errors() {
			lines = append(lines, p.String())
		}
	}
	if more := len(lines) - maxDocumentProblems; more > 0 {
		lines = append(lines[:maxDocumentProblems], fmt.Sprintf("%d more problems", more))
	}
	return lines
}

func decodeDocument(doc *api.ServiceDocument) (Service, Problems) {
	s, _, problems := Parse(doc.GetService(), doc.GetJson())
	problems = problems.Errors()
	if len(problems) == 0 && s.Name != doc.GetService() {
		problems = Problems{{
			Field:   "service",
			Message: fmt.Sprintf("the document of %q declares %q", doc.GetService(), s.Name),
		}}
		problems[0].File = doc.GetService()
	}
	return s, problems
}

func compareDocuments(a, b *api.ServiceDocument) int {
	if byName := strings.Compare(a.GetService(), b.GetService()); byName != 0 {
		return byName
	}
	return strings.Compare(string(a.GetJson()), string(b.GetJson()))
}
