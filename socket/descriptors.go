package socket

import "golang.org/x/sys/unix"

const (
	// reservedDescriptors are left for files and for the process's own connections.
	reservedDescriptors = 200
	// minDescriptors keeps a process usable whose limit is below what it needs.
	minDescriptors = 64
)

// UsableDescriptors returns how many descriptors connections may use: those of the process's
// limit, or of a lower stated one if it is not zero, less the reserved ones.
func UsableDescriptors(stated int) int {
	limit := stated
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err == nil && (limit <= 0 || own.Cur < uint64(limit)) {
		limit = int(min(own.Cur, 1<<30))
	}
	return max(limit-reservedDescriptors, minDescriptors)
}
