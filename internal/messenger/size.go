package messenger

// Typical sizes of encoded values in bytes, not counting the names in them.
const (
	frameBytes          = 3
	controlBytes        = 15
	poolControlBytes    = 13
	demandBytes         = 7
	holdingOrGrantBytes = 5
	accountUseBytes     = 16
	accountTagBytes     = 17
)

// Size returns the estimated size of the encoded message in bytes.
func (m *PeerMessage) Size() int {
	n := frameBytes
	if m.Control != nil {
		n += m.Control.size()
	}
	return n
}

func (c *Control) size() int {
	n := controlBytes
	for i := range c.Pools {
		n += c.Pools[i].size()
	}
	return n
}

func (p *PoolControl) size() int {
	n := poolControlBytes + len(p.Pool)
	n += demandBytes * (len(p.Demand) + len(p.CompetingDemand))
	for i := range p.Holdings {
		n += holdingOrGrantBytes + len(p.Holdings[i].Upstream)
	}
	for i := range p.Grants {
		n += holdingOrGrantBytes + len(p.Grants[i].Upstream)
	}
	for i := range p.Uses {
		n += accountUseBytes + len(p.Uses[i].Account)
	}
	for i := range p.Tags {
		n += accountTagBytes + len(p.Tags[i].Account)
	}
	return n
}
