package citronstream

import "github.com/jonboulle/clockwork"

// Clock gives the time and makes timers. Production code takes the real
// clock at the command line, tests take a fake one.
type Clock = clockwork.Clock
