package messenger

// Sizes of encoded values, in bytes.
const (
	frameSize   = 12
	controlSize = 24
	poolSize    = 12
)

// Size estimates the encoded size of a message in bytes.
func (m *PeerMessage) Size() int {
	n := frameSize
	for _, s := range m.Service {
		n += 11 + len(s.Account) + len(s.Pool)
	}
	if m.Control != nil {
		n += m.Control.size()
	}
	return n
}

func (c *Control) size() int {
	n := controlSize
	for i := range c.Pools {
		n += c.Pools[i].size()
	}
	return n
}

func (p *PoolControl) size() int {
	n := poolSize + len(p.Pool)
	n += 9 * (len(p.Demand) + len(p.Rivals))
	for i := range p.Holdings {
		n += 6 + len(p.Holdings[i].Upstream)
	}
	for i := range p.Grants {
		n += 6 + len(p.Grants[i].Upstream)
	}
	for i := range p.Uses {
		n += 16 + len(p.Uses[i].Account)
	}
	for i := range p.Tags {
		n += 17 + len(p.Tags[i].Account)
	}
	return n
}
