package memory

const (
	// CollectorPercent is the percentage of the process's memory limit that is the soft
	// limit of the garbage collector. The rest is for the program's file, which is mapped
	// (about 15 MiB), and for what the collector allows itself beyond its limit.
	CollectorPercent = 70
	// heldPercent is the percentage of the collector's limit that the account may use,
	// less ownBytes. The rest is for garbage between collections and for what grows with
	// the fleet.
	heldPercent = 85
	// ownBytes is what a process in a small fleet uses for itself.
	ownBytes = 16 << 20
	// responsePercent is the percentage of the process's memory limit that responses may
	// hold.
	responsePercent = 15
	// minTotal keeps a process usable whose limit is below what it needs for itself.
	minTotal = 8 << 20
	// defaultTotal and defaultResponses apply to a process without a memory limit.
	defaultTotal     = 1 << 30
	defaultResponses = 128 << 20
	// ConnectionBytes is what an open connection takes besides its buffers: its state and
	// the stack of its goroutine.
	ConnectionBytes = 12 << 10
	// connectionShare is the part of the total that callers' connections may use, as a
	// divisor.
	connectionShare = 4
	mebibyte        = 1 << 20
)

// LimitsOf returns the limits of the account of a process with a memory limit in MiB; zero
// means none.
func LimitsOf(memoryMB int) Limits {
	if memoryMB <= 0 {
		return Limits{Total: defaultTotal, Responses: defaultResponses}
	}
	bytes := int64(memoryMB) * mebibyte
	return Limits{
		Total:     max(minTotal, CollectorLimit(memoryMB)*heldPercent/100-ownBytes),
		Responses: bytes * responsePercent / 100,
	}
}

// LimitsOfResponses returns limits of an account of responses only, of which each large one may
// take a number of bytes.
func LimitsOfResponses(maxBytes int64) Limits {
	return Limits{Total: maxBytes * largestResponseShare, Responses: maxBytes * largestResponseShare}
}

// CollectorLimit returns the soft limit of the garbage collector, in bytes, for a process
// with a memory limit in MiB.
func CollectorLimit(memoryMB int) int64 {
	return int64(memoryMB) * mebibyte * CollectorPercent / 100
}

// MaxConnections returns how many connections of callers fit in the memory, each with a
// number of bytes.
func (l Limits) MaxConnections(bytesEach int64) int {
	return int(l.Total / connectionShare / bytesEach)
}
