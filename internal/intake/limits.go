package intake

import "syscall"

// ProcessLimits divide what a process may use between its servers.
type ProcessLimits struct {
	// Callers are those of the server for callers, Peers those of the server for other processes of the
	// system, and Probes those of each server for probes, metrics and operators. Answers limits the answers
	// to calls that the process makes, and Submissions what other processes hand on for their callers.
	Callers, Peers, Probes, Answers, Submissions Limits
}

const (
	// reservedFiles is the number of descriptors that are not for sockets.
	reservedFiles = 200
	// connMemoryParts and byteMemoryParts are the parts of the memory for the connections of callers, and
	// for what they hold beyond their allowances: one in so many.
	connMemoryParts = 5
	byteMemoryParts = 8
	// answerMemoryParts is the part of the memory for answers.
	answerMemoryParts = 16
	// The parts of the sockets for each server: one in so many. The rest is for connections that the
	// process opens.
	callerParts, peerParts, probeParts = 4, 8, 16
	// minProbes is the smallest number of connections for probes.
	minProbes = 4
	// maxProbes bounds the connections for probes, since each of them needs memory.
	maxProbes = 64
)

// MinMemory is the smallest memory of a process, in bytes.
const MinMemory = 64 << 20

// minBytes suffices for a body of 1 MiB, for which nine times its size is taken while it is decoded.
const minBytes = 10 << 20

// MinDescriptors is the smallest number of descriptors of a process.
const MinDescriptors = reservedFiles + 64

// AllowedDescriptors returns a number of descriptors, or what the system allows the process if that is lower.
func AllowedDescriptors(n int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > uint64(n) {
		return n
	}
	return int(limit.Cur)
}

// LimitsFor returns the limits of a process with so much memory, in bytes, and so many descriptors. Zero
// means that a quantity is not limited.
func LimitsFor(memory int64, descriptors int) ProcessLimits {
	large := memory / byteMemoryParts
	if memory > 0 {
		large = max(large, minBytes)
	}
	l := ProcessLimits{
		Callers:     Limits{Conns: int(memory / connMemoryParts / (connBytes + Allowance)), Bytes: large},
		Probes:      Limits{Conns: maxProbes, Bytes: memory / byteMemoryParts / probeParts},
		Answers:     Limits{Bytes: memory / answerMemoryParts},
		Submissions: Limits{Bytes: large},
		Peers:       Limits{Bytes: large},
	}
	if descriptors == 0 {
		return l
	}
	sockets := max(descriptors, MinDescriptors) - reservedFiles
	l.Callers.Conns = lower(l.Callers.Conns, sockets/callerParts)
	l.Peers.Conns = sockets / peerParts
	l.Probes.Conns = min(l.Probes.Conns, max(minProbes, sockets/probeParts))
	return l
}

// lower returns the lower of two limits, of which the first may be zero, which means none.
func lower(limit, other int) int {
	if limit == 0 {
		return other
	}
	return min(limit, other)
}
