package publish

import (
	"fmt"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Outcome is the result of a change in the form that `publish -json` prints.
type Outcome struct {
	Set        string             `json:"set"`
	Number     uint64             `json:"number"`
	ChangeID   string             `json:"change_id"`
	Accepted   bool               `json:"accepted"`
	Status     string             `json:"status"`
	Version    uint64             `json:"version,omitempty"`
	LastNumber uint64             `json:"last_number"`
	Standing   *ConflictingChange `json:"standing,omitempty"`
	Problems   []string           `json:"problems,omitempty"`
}

// ConflictingChange is the accepted change that has the number of a refused one.
type ConflictingChange struct {
	ChangeID    string    `json:"change_id"`
	Author      string    `json:"author"`
	Accepted    time.Time `json:"accepted"`
	SameContent bool      `json:"same_content"`
}

// NewOutcome combines a change with its result.
func NewOutcome(change *api.Change, result *api.ChangeResult) Outcome {
	name := strings.TrimPrefix(result.Status.String(), "CHANGE_STATUS_")
	o := Outcome{
		Set:        change.Set,
		Number:     change.Number,
		ChangeID:   change.ChangeId,
		Accepted:   result.Status == api.ChangeStatus_CHANGE_STATUS_ACCEPTED,
		Status:     strings.ReplaceAll(strings.ToLower(name), "_", "-"),
		Version:    result.Version,
		LastNumber: result.LastNumber,
		Problems:   result.Problems,
	}
	if result.Status == api.ChangeStatus_CHANGE_STATUS_NUMBER_TAKEN {
		o.Standing = &ConflictingChange{
			ChangeID:    result.StandingChangeId,
			Author:      result.StandingAuthor,
			Accepted:    time.UnixMilli(result.StandingUnixMs).UTC(),
			SameContent: result.SameContent,
		}
	}
	return o
}

// String describes the outcome in one line.
func (o Outcome) String() string {
	change := fmt.Sprintf("change %d of set %s (id %s)", o.Number, o.Set, o.ChangeID)
	switch o.Status {
	case "accepted":
		return fmt.Sprintf("%s is accepted as version %d", change, o.Version)
	case "number-taken":
		return fmt.Sprintf("%s is refused: number %d was taken by %s", change, o.Number, o.Standing)
	case "number-gap":
		return fmt.Sprintf("%s is refused: the next number of the set is %d%s", change, o.LastNumber+1, finalHint)
	case "number-forgotten":
		return fmt.Sprintf("%s is refused: the number is too old to tell whether it was accepted; the last number of the set is %d", change, o.LastNumber)
	case "invalid":
		return fmt.Sprintf("%s is refused: %s%s", change, strings.Join(o.Problems, "; "), finalHint)
	}
	return fmt.Sprintf("%s got the unknown answer %q", change, o.Status)
}

// finalHint is added where the same change may become acceptable later: control
// gives a resent change its first answer.
const finalHint = " (the answer to this change id is final; use another number or -change-id to try again)"

// String names the standing change.
func (s *ConflictingChange) String() string {
	content := "other content"
	if s.SameContent {
		content = "the same content"
	}
	return fmt.Sprintf("change id %s by %s at %s with %s", s.ChangeID, s.Author, s.Accepted.Format(time.RFC3339), content)
}
