package server

// Sizes are the numbers of elements that an agent keeps.
type Sizes struct {
	Links    int // entries linked
	Live     int // attempts that wait or run
	Attempts int // attempts and tombstones remembered
}

// Sizes returns the present sizes.
func (se *Server) Sizes() Sizes {
	return Sizes{Links: len(se.peers()), Live: len(se.attempts.Live()), Attempts: se.attempts.Len()}
}
