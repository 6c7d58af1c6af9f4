package relay

import (
	"github.com/phuslu/log"

	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// logMember logs one membership change.
func logMember(lg *log.Logger, az string, c feed.MergeChange) {
	event, m := "member_changed", c.To
	switch {
	case c.From == nil:
		event = "member_joined"
	case c.To == nil:
		event, m = "member_left", c.From
	}
	lg.Info().Str("event", event).Str("member", c.ID).Str("availability_zone", az).Str("service", m.Service).
		Str("state", m.State.String()).Uint64("boot", m.Incarnation).Uint64("sequence", m.Sequence).Msg("")
}
