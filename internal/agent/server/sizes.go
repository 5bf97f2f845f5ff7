package server

// Sizes are the sizes of an agent's tables.
type Sizes struct {
	Links    int // connected entries
	Live     int // attempts that wait or run
	Attempts int // attempts and tombstones in the table
}

// Sizes returns the current sizes.
func (se *Server) Sizes() Sizes {
	return Sizes{Links: len(se.peers()), Live: len(se.attempts.Live()), Attempts: se.attempts.Len()}
}
