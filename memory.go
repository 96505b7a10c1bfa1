package figpier

// RequestMemory bounds the memory that a process spends on requests which take more than an ordinary one.
type RequestMemory interface {
	Service
	// Reserve sets a number of bytes aside, and reports false if fewer are left.
	Reserve(bytes int64) bool
	// Free returns bytes that were set aside.
	Free(bytes int64)
}

// FindRequestMemory finds the bound on the memory of requests of a process.
func FindRequestMemory(d Directory) (RequestMemory, error) {
	return findService[RequestMemory](d, MemoryService)
}
