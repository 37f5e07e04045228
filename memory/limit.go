package memory

import "runtime/debug"

const (
	// DefaultProcessBytes is the memory limit of a process whose settings state none.
	DefaultProcessBytes = 256_000_000
	// budgetShare is the share of the process limit that is held for peers all together. The
	// rest covers the tables and connections of the process and garbage that is not collected
	// yet.
	budgetShare = 0.4
	// runtimeShare is the share of the process limit that the Go runtime may use before it
	// collects garbage more often. The rest covers the program's image and bytes that the
	// kernel has received and the process has not read.
	runtimeShare = 0.75
)

// LimitRuntime sets the memory limit of the Go runtime for a process that may use processBytes.
// Zero stands for DefaultProcessBytes. It is to be called once, at the start of a process.
func LimitRuntime(processBytes int64) {
	debug.SetMemoryLimit(int64(runtimeShare * float64(orDefault(processBytes))))
}

// ProcessBudget returns the budget of the bytes that a process that may use processBytes holds
// for peers. Zero stands for DefaultProcessBytes.
func ProcessBudget(processBytes int64) *Budget {
	return NewBudget(int64(budgetShare * float64(orDefault(processBytes))))
}

func orDefault(processBytes int64) int64 {
	if processBytes == 0 {
		return DefaultProcessBytes
	}
	return processBytes
}
