package protocol

import (
	"fmt"
	"strconv"
)

// RequestPath returns the path of a client's request, which consists of its class and its customer.
func RequestPath(class string, customer uint64) string {
	return fmt.Sprintf("/%s/%0*x", class, customerDigits, customer)
}

// FormatWeight returns the value of HeaderWeight for a request with the given units. The customer's node set starts at
// firstNode and has spread nodes.
func FormatWeight(units float64, spread, firstNode int) string {
	return fmt.Sprintf("%s=%g,%s=%d,%s=%d", WeightUnits, units, WeightSpread, spread, WeightFirstNode, firstNode)
}

// AppendRequestLines appends the request line and the headers of a client's request to b: Host, ID, Plan, Timeout, Units,
// Spread and FirstNode. The caller appends further headers, the empty line and the body. The clients of the tests and of
// internal/lab use it.
func AppendRequestLines(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"+HeaderRequestID+": "...)
	b = append(b, r.ID...)
	b = append(b, "\r\n"+HeaderPlan+": "...)
	b = append(b, r.Plan...)
	b = append(b, "\r\n"+HeaderTimeout+": "...)
	b = strconv.AppendInt(b, r.Timeout.Milliseconds(), 10)
	b = append(b, "\r\n"+HeaderWeight+": "...)
	b = append(b, FormatWeight(r.Units, r.Spread, r.FirstNode)...)
	return append(b, "\r\n"...)
}
