package faults

import "context"

// raceConfig lets two operators change the same version at once.
func (in *Injector) raceConfig(ctx context.Context) string {
	won, err := in.fl.Race(ctx)
	in.failed(err)
	return won
}
