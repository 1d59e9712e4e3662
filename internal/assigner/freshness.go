package assigner

// Freshness says as of when a router knows all plans, by the store's clock: all that were written before AsOfMs. How
// late it learnt of that doesn't matter. The zero value knows none.
type Freshness struct {
	asOfMs int64
}

// AsOfMs returns the time as of which all plans are known, or zero.
func (f Freshness) AsOfMs() int64 { return f.asOfMs }

// Confirm records that all plans written before asOfMs are known. Times after nowMs, the latest that the store's clock can
// show, come from another era of the store and are ignored.
func (f *Freshness) Confirm(asOfMs, nowMs int64) {
	if asOfMs <= nowMs {
		f.asOfMs = max(f.asOfMs, asOfMs)
	}
}

// IsLeased reports whether streams may begin by the known plans at a time of the store's clock.
func (f Freshness) IsLeased(nowMs int64) bool {
	return f.asOfMs > 0 && nowMs-f.asOfMs < Lease.Milliseconds()
}
