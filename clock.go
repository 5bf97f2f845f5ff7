package citronstream

import "github.com/jonboulle/clockwork"

// Clock returns the time and creates timers. Commands use the real clock, tests
// a fake one.
type Clock = clockwork.Clock
