package dispatcher

import "sync"

// probeSet holds the addresses that are being probed, so that each is probed once at a time. The
// zero value is empty.
type probeSet struct {
	mu        sync.Mutex
	addresses map[string]bool
}

// begin reports whether the address is not being probed yet, and adds it.
func (p *probeSet) begin(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses[address] {
		return false
	}
	if p.addresses == nil {
		p.addresses = make(map[string]bool)
	}
	p.addresses[address] = true
	return true
}

func (p *probeSet) end(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.addresses, address)
}
