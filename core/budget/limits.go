package budget

const (
	// overheadBytes is the memory of a process that the Go runtime does not count, such as its program.
	overheadBytes = 30_000_000
	// baseBytes is the memory that a process needs without requests.
	baseBytes = 16_000_000
	// runtimeFraction is the part of the memory of the process, without its overhead, that is the Go runtime's limit.
	runtimeFraction = 0.9
	// budgetFraction is the part of the runtime's limit, without the base, that the budget covers. The rest is for copies, buffers
	// that have been replaced by larger ones, and memory that has not been collected yet.
	budgetFraction = 0.4
	// minBudgetBytes is the least budget: with less, a body of the usual limit of 4 MB could not be read.
	minBudgetBytes = 12_000_000
	// minRuntimeFraction is the least part of the memory that is the Go runtime's limit.
	minRuntimeFraction = 0.5
	// reservedDescriptors and reservedFraction are kept for listeners, peers, the store, health checks and logs.
	reservedDescriptors = 32
	reservedFraction    = 1.0 / 16
	// connectionBytes is the memory of a connection with its read buffer, its goroutines, and what is free of the budget, and
	// connectionFraction the part of the runtime's limit that all connections may use.
	connectionBytes    = 32 << 10
	connectionFraction = 0.3
	// minConnections is the least limit of callers' connections.
	minConnections = 16
)

// RuntimeLimit returns the limit of the Go runtime's memory for a process that may use some memory.
func RuntimeLimit(memory int64) int64 {
	return int64(max(minRuntimeFraction*float64(memory), runtimeFraction*float64(memory-overheadBytes)))
}

// Bytes returns the budget of a process that may use some memory.
func Bytes(memory int64) int64 {
	return max(minBudgetBytes, int64(budgetFraction*float64(RuntimeLimit(memory)-baseBytes)))
}

// Connections returns the limit of callers' connections of a process that may use some memory and descriptors. Each request in progress
// takes one descriptor for its caller and one for its server.
func Connections(memory int64, descriptors int) int {
	reserve := max(reservedDescriptors, int(reservedFraction*float64(descriptors)))
	byMemory := int(connectionFraction * float64(RuntimeLimit(memory)) / connectionBytes)
	return max(minConnections, min((descriptors-reserve)/2, byMemory))
}
