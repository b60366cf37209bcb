package connlimit

// ProcessLimits bounds what all listeners and readers of a process hold, from its memory and its
// descriptors.
type ProcessLimits struct {
	// HeapBytes is the memory from which on garbage is collected more often.
	HeapBytes int64
	// Callers bounds the connections of callers.
	Callers Limits
	// Operators bounds those of readiness checks, metrics and operators, for each listener.
	Operators Limits
	// Peers bounds the connections of other nodes. Their Bytes are for the requests in calls.
	Peers Limits
	// PeerCalls is the number of calls of other nodes at the same time.
	PeerCalls int
	// ResponseBytes is the memory of the responses of targets that are being read.
	ResponseBytes int64
}

const (
	// SocketBufferBytes is the size that is set for the receive and the send buffer of a
	// connection. The kernel allows twice as much, for its own structures.
	SocketBufferBytes = 16 << 10
	// AcceptBacklog is the number of connections that may wait to be accepted.
	AcceptBacklog = 256

	kernelBufferBytes = 2 * SocketBufferBytes
	// connMemoryBytes is the memory of a connection without its request: two buffers of the kernel,
	// and goroutines and buffers of the process. peerConnMemoryBytes is that of a connection of
	// another node, whose responses the process itself bounds.
	connMemoryBytes     = 2*kernelBufferBytes + 24<<10
	peerConnMemoryBytes = kernelBufferBytes + 32<<10
	// callMemoryBytes is the memory of a call of another node without its request.
	callMemoryBytes = 24 << 10

	// heapShare is the part of the process's memory that the runtime may use before it collects
	// garbage more often.
	heapShare = 0.6
	// Shares of the process's memory. What remains, 0.25, is for the process itself.
	callerConnShare  = 0.25
	callerBytesShare = 0.12
	responseShare    = 0.15
	peerConnShare    = 0.1
	peerCallShare    = 0.05
	peerBytesShare   = 0.03 // for each direction of calls
	operatorShare    = 0.01 // for each of two listeners

	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// callerDescriptorShare and peerDescriptorShare are shares of the other descriptors. What
	// remains is for connections that the process opens.
	callerDescriptorShare = 0.5
	peerDescriptorShare   = 0.25

	// operatorConns is the number of connections for each listener of operators. Few are needed,
	// but a load balancer checks readiness from several addresses.
	operatorConns = 32
	// minConns keeps a process with very small limits reachable.
	minConns = 16

	// defaultMemoryBytes and defaultDescriptors apply if the settings do not name them.
	defaultMemoryBytes = 512 << 20
	defaultDescriptors = 8192
)

// ForProcess divides the memory and the descriptors of a process; 0 means that a limit is not
// known.
func ForProcess(memoryBytes int64, descriptors int) ProcessLimits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	share := func(f float64) int64 { return int64(f * float64(memoryBytes)) }
	sockets := float64(max(0, descriptors-reservedDescriptors))
	conns := func(descriptorShare float64, memory, each int64) int {
		return max(minConns, min(int(descriptorShare*sockets), int(memory/each)))
	}
	return ProcessLimits{
		HeapBytes: share(heapShare),
		Callers: Limits{
			Conns: conns(callerDescriptorShare, share(callerConnShare), connMemoryBytes),
			Bytes: share(callerBytesShare),
		},
		Operators: Limits{Conns: operatorConns, Bytes: share(operatorShare)},
		Peers: Limits{
			Conns: conns(peerDescriptorShare, share(peerConnShare), peerConnMemoryBytes),
			Bytes: share(peerBytesShare),
		},
		PeerCalls:     int(share(peerCallShare) / callMemoryBytes),
		ResponseBytes: share(responseShare),
	}
}
