package gateway

// loadsKnown returns the number of upstreams that have said their load lately.
func (ga *Gateway) loadsKnown() (count int) {
	now := ga.clk.Now()
	for nd := range ga.view.Members().All() {
		if _, _, known := nd.Load(now); known {
			count++
		}
	}
	return count
}
