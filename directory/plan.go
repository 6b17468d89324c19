package directory

// plan divides the callers so that uniform picks from their answers add up to shares of the
// work in proportion to the weights. Callers of one kind get all instances above some
// weight: such nested answers together make any shares, since the share of each instance is
// the sum of the layers up to it. An instance whose weight far exceeds the others'
// would make answers with fewer than size addresses; what it has above the level base is the
// work of the other kind of callers, who get size addresses drawn by the weights above the
// base.
type plan struct {
	// size is the number of addresses of a drawn answer, and the smallest of any.
	size int
	// base is the share of the work up to which the nested answers give it out.
	base float64
	// drawn is the fraction of the callers with a drawn answer.
	drawn float64
	// shares are the instances' shares of the work.
	shares []float64
}

// newPlan returns the plan for instances in the order of their weights, the largest first.
func newPlan(all []weighted) plan {
	total := 0.0
	for _, in := range all {
		total += in.weight
	}
	shares := make([]float64, len(all))
	for i, in := range all {
		shares[i] = in.weight / total
	}
	p := plan{shares: shares, size: min(minAddresses, len(all))}
	p.base = findBase(shares, p.size)
	for _, share := range shares {
		p.drawn += max(share-p.base, 0)
	}
	return p
}

// findBase returns the highest level above which the shares can be given out in answers of a
// size, in which no instance is named twice: the highest share less the base is at most the
// sum of all above the base, divided by the size. It is zero if one instance has more than
// an answer of that size can give it.
func findBase(shares []float64, size int) float64 {
	highest, sum := shares[0], 0.0
	if shares[size-1] == highest {
		return highest
	}
	for i, share := range shares {
		sum += share
		above := i + 1
		if above <= size {
			continue
		}
		next := 0.0
		if above < len(shares) {
			next = shares[above]
		}
		if base := (sum - float64(size)*highest) / float64(above-size); base >= next {
			return base
		}
	}
	return 0
}

// choose returns the instances of a caller's answer, which may be more than an answer holds.
func (p plan) choose(caller Caller, all []weighted) []weighted {
	position := newNumbers(caller).of("")
	if position < p.drawn {
		for i := range all {
			all[i].weight = max(p.shares[i]-p.base, 0)
		}
		return draw(caller, all, p.size)
	}
	position -= p.drawn
	for i := range all {
		all[i].weight = 1
	}
	for i := range all {
		next := 0.0
		if i+1 < len(all) {
			next = min(p.shares[i+1], p.base)
		}
		position -= float64(i+1) * (min(p.shares[i], p.base) - next)
		if position < 0 {
			return all[:i+1]
		}
	}
	return all
}
