package messenger

// Typical sizes of encoded values in bytes, not counting the names in them.
const (
	frameSize   = 3
	controlSize = 15
	poolSize    = 13
	demandSize  = 7
	slotsSize   = 5
	useSize     = 16
	tagSize     = 17
)

// Size returns the estimated size of the encoded message in bytes.
func (m *PeerMessage) Size() int {
	n := frameSize
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
	n += demandSize * (len(p.Demand) + len(p.CompetingDemand))
	for i := range p.Holdings {
		n += slotsSize + len(p.Holdings[i].Upstream)
	}
	for i := range p.Grants {
		n += slotsSize + len(p.Grants[i].Upstream)
	}
	for i := range p.Uses {
		n += useSize + len(p.Uses[i].Account)
	}
	for i := range p.Tags {
		n += tagSize + len(p.Tags[i].Account)
	}
	return n
}
