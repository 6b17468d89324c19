package quota

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Part is an instance's part of one workspace's limit. Either the instance uses it
	// itself, or it is lent to one peer. It is not safe for concurrent use.
	//
	// No clocks are compared: a peer offers to borrow the part, and counts the loan
	// from when it made its offer. The lender counts it from when it accepted, which is
	// later, so that it never uses the part together with the peer.
	Part struct {
		// borrower is the address of the peer that the part was last lent to.
		borrower string
		// lentUntil is when that loan ends at the latest.
		lentUntil clock.Millis
		// offer is the latest offer, by the peer at offeredBy.
		offer     Offer
		offeredBy string
		// offerUntil is when the offer can no longer be accepted.
		offerUntil clock.Millis
		sequence   int64
		// lentSequence is the number of the message that lent the part last.
		lentSequence int64
	}

	// Offer is a peer's offer to borrow a part.
	Offer struct {
		// Borrower identifies the process that made the offer.
		Borrower uint64
		// At is when it was made, by the borrower's clock.
		At clock.Millis
	}
)

// loanMargin covers the different speeds of two clocks during a PartTerm.
const loanMargin = 20 * clock.Millis(1)

// IsHere reports whether this instance may use the part itself.
func (p *Part) IsHere(now clock.Millis) bool {
	return now >= p.lentUntil
}

// LentTo returns the address of the peer that may be using the part, or an empty string.
func (p *Part) LentTo(now clock.Millis) string {
	if p.IsHere(now) {
		return ""
	}
	return p.borrower
}

// RecordOffer records the offer of the peer at an address, in a response to a request
// that was sent at the given time.
func (p *Part) RecordOffer(sentAt clock.Millis, address string, offer Offer) {
	p.offer, p.offeredBy, p.offerUntil = offer, address, sentAt+PartTerm
}

// HasOffer reports whether the peer at an address has made an offer that can be accepted.
func (p *Part) HasOffer(now clock.Millis, address string) bool {
	return p.offeredBy == address && now < p.offerUntil
}

// Lend lends the part to the peer at an address, or renews the loan, and returns the offer
// that is accepted. It reports false if there is no offer, or another peer may still be
// using the part.
func (p *Part) Lend(now clock.Millis, address string) (Offer, bool) {
	if !p.HasOffer(now, address) || (p.borrower != address && !p.IsHere(now)) {
		return Offer{}, false
	}
	p.borrower, p.lentUntil = address, now+PartTerm+loanMargin
	return p.offer, true
}

// RecordLent records the number of the message that lends the part.
func (p *Part) RecordLent(sequence int64) {
	p.lentSequence = sequence
}

// Renew renews the loan to the peer at an address, if the part is lent to it, by a message
// that renews all loans to it.
func (p *Part) Renew(now clock.Millis, address string) {
	if p.LentTo(now) == address {
		p.lentUntil = now + PartTerm + loanMargin
	}
}

// RecordGivenBack records that the peer at an address has ended the loan of a message, unless
// the part was lent again since.
func (p *Part) RecordGivenBack(address string, sequence int64) bool {
	if p.borrower != address || p.lentSequence != sequence {
		return false
	}
	p.RecordReturn(address)
	return true
}

// RecordReturn records that the peer at an address does not use the part any more.
func (p *Part) RecordReturn(address string) {
	if p.borrower == address {
		p.lentUntil = 0
	}
	if p.offeredBy == address {
		p.offerUntil = 0
	}
}

// NextSequence returns a number that is higher than that of each earlier message.
func (p *Part) NextSequence() int64 {
	p.sequence++
	return p.sequence
}
