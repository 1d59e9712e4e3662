package dispatcher

// appendReserved appends p to buf. It reserves a larger buffer before it allocates one, as both
// exist while the bytes are copied, and then releases the old one. The size of a buffer is at most
// limit. If there is no room, appendReserved returns buf and false.
func appendReserved(buf, p []byte, limit int, reserve func(n int) bool) ([]byte, bool) {
	need := len(buf) + len(p)
	if need <= cap(buf) {
		return append(buf, p...), true
	}
	size := min(max(need, 2*cap(buf)), limit)
	if need > limit || !reserve(size) {
		return buf, false
	}
	grown := append(make([]byte, 0, size), buf...)
	reserve(-cap(buf))
	return append(grown, p...), true
}
