// Package numeric has arithmetic whose results do not depend on the machine's architecture.
package numeric

import "math"

// int64Limit is the least float64 above all values of int64.
const int64Limit = 1 << 63

// Truncate returns f, rounded towards 0. For NaN and for numbers beyond int64's range it returns the least int64. Go leaves the
// result of such a conversion to the architecture.
func Truncate[T ~int | ~int64](f float64) T {
	if f >= -int64Limit && f < int64Limit {
		return T(f)
	}
	outOfRange := int64(math.MinInt64)
	return T(outOfRange)
}
