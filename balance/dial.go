package balance

import "time"

const (
	// minDialPause is the pause after the first connection that a searcher rejects. It doubles with each
	// further one up to maxDialPause, so that many instances together reject few connections a second.
	minDialPause = 250 * time.Millisecond
	maxDialPause = 8 * time.Second
)

// DialPause keeps an instance from opening connections to a searcher that has just closed a new one
// without a reply: it has as many as it accepts, or it is about to stop. Connections that are open
// are used meanwhile. The zero value is no pause.
type DialPause struct {
	until  time.Duration
	length time.Duration
}

// ObserveRejected records that the searcher closed a new connection without a reply. Connections that
// were opened before the pause do not lengthen it.
func (p *DialPause) ObserveRejected(now time.Duration) {
	if now < p.until {
		return
	}
	p.length = min(max(2*p.length, minDialPause), maxDialPause)
	p.until = now + p.length
}

// ObserveReply records the first reply on a new connection. It ends the pause.
func (p *DialPause) ObserveReply() { *p = DialPause{} }

// Left returns the time until a connection may be opened.
func (p *DialPause) Left(now time.Duration) time.Duration { return max(p.until-now, 0) }
