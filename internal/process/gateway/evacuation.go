package gateway

import "github.com/citronstream/citronstream/platform"

// zoneEvacuated begins the ramp of a zone whose evacuation is heard of. The view calls it with
// its lock held, so that it uses the age of the configuration's table as of the last tick.
func (ga *Gateway) zoneEvacuated(zone string) {
	if ga.site.Bounds.Evacuate > 0 {
		known := ga.evacKnown.Load().At(ga.clk.Now(), ga.suspended())
		ga.log.Info("load of the zone moves", "zone", zone, "within", ga.ramp.Evacuated(zone, known).String())
	}
}

// zoneTakenBack ends the ramp of a zone; its upstreams are cold.
func (ga *Gateway) zoneTakenBack(zone string, version uint64) {
	ga.ramp.TakenBack(zone)
	ga.cold.TakenBack(zone, version)
}

// sweepRamp ends ramps and records up to when evacuations are known.
func (ga *Gateway) sweepRamp() {
	ga.ramp.Sweep()
	known := ga.evacKnown.Load().Next(ga.follower.AsOf(platform.TableConfig), ga.clk.Now(), ga.suspended(), ga.site.Bounds.Evacuate)
	ga.evacKnown.Store(&known)
}
