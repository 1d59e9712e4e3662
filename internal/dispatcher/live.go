package dispatcher

import "sync"

// liveExchanges tracks the exchanges in progress by upstream address. When one connection
// is found dead, the others to the same upstream are checked, because they may have
// failed with it.
type liveExchanges struct {
	mu        sync.Mutex
	byAddress map[string]map[*exchange]struct{}
}

func (l *liveExchanges) add(address string, x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAddress == nil {
		l.byAddress = make(map[string]map[*exchange]struct{})
	}
	m := l.byAddress[address]
	if m == nil {
		m = make(map[*exchange]struct{})
		l.byAddress[address] = m
	}
	m[x] = struct{}{}
}

func (l *liveExchanges) remove(address string, x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byAddress[address]
	delete(m, x)
	if len(m) == 0 {
		delete(l.byAddress, address)
	}
}

// suspect marks every exchange with address as suspect, except the one known to work.
func (l *liveExchanges) suspect(address string, except *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for x := range l.byAddress[address] {
		if x != except {
			x.markSuspect()
		}
	}
}
