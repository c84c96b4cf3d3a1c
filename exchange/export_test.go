package exchange

// IdleConns returns the number of idle connections to an address.
func (p *Pool) IdleConns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// BadLoads returns the number of load reports that were not understood.
func BadLoads() uint64 {
	return _badLoads.Get()
}
