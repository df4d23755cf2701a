package sched

// Compact returns the usage as a list of numbers, for messages between hosts. Trailing zeros are left out.
func (usage Usage) Compact() []int64 {
	values := []int64{int64(usage.Running), usage.Backlog, usage.Tokens, usage.WorkMillis}
	for len(values) > 0 && values[len(values)-1] == 0 {
		values = values[:len(values)-1]
	}
	return values
}

// ExpandUsage returns the usage of a list of numbers. Missing numbers are 0, and further ones are ignored.
func ExpandUsage(values []int64) Usage {
	var padded [4]int64
	copy(padded[:], values)
	return Usage{Running: int(padded[0]), Backlog: padded[1], Tokens: padded[2], WorkMillis: padded[3]}
}
