package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// arrivalsOf draws the arrivals of a pattern.
func arrivalsOf(pa *sharedPattern, seed uint64, began time.Time) (all []sharedCaller) {
	draw := rand.New(rand.NewPCG(seed, 7))
	for at := time.Duration(0); at < sharedSpan; at += sharedStep {
		for _, ki := range pa.kinds {
			for zone := range sharedZones {
				rate := ki.rate / sharedZones / 3 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/sharedWave.Seconds()+float64(zone)/sharedZones)))
				if at >= ki.burstAt && at < ki.burstEnd {
					rate *= ki.burst
				}
				if zone == 0 && pa.surge > 0 && at >= 8*time.Second && at < 15*time.Second {
					rate *= pa.surge
				}
				if draw.Float64() >= rate*sharedStep.Seconds() {
					continue
				}
				workspace := 1 + draw.IntN(15)
				if pa.hot && at >= ki.burstAt && at < ki.burstEnd && draw.Float64() < 1-1/ki.burst {
					workspace = 0
				}
				for range 3 {
					sc := sharedCaller{stageKind: ki, workspace: workspace, zone: zone, at: began.Add(at), first: began.Add(at)}
					if draw.Float64() < pa.leaves {
						sc.leavesAt = sc.at.Add(500 * time.Millisecond)
					}
					if pa.outage && at >= 8*time.Second && at < 10*time.Second {
						sc.at = began.Add(10*time.Second + time.Duration(draw.Float64()*float64(300*time.Millisecond)))
					}
					all = append(all, sc)
				}
			}
		}
	}
	slices.SortStableFunc(all, func(a, b sharedCaller) int { return a.at.Compare(b.at) })
	return all
}

// offline returns how many requests a schedule that knows all of them serves in time at
// most: for each stage those that it could serve if the other stages took no time but that
// of a batch, the least for any stage. Without enough time the one with the most pieces of
// those that are due first is left out.
func offline(pa *sharedPattern, arrivals []sharedCaller, began time.Time) int {
	least := len(arrivals)
	for stage := range stageCount {
		least = min(least, offlineStage(pa, arrivals, stage, began))
	}
	return least
}

func offlineStage(pa *sharedPattern, arrivals []sharedCaller, stage int, began time.Time) (served int) {
	usual := cmp.Or(pa.usual, 1)
	const slot = 50 * time.Millisecond
	type piece struct {
		from, last time.Time
		count      int
	}
	var all, waiting []piece
	for i := range arrivals {
		sc := &arrivals[i]
		if !sc.leavesAt.IsZero() {
			continue
		}
		before := time.Duration(usual * float64(sc.unloaded(pa, 0)-sc.unloaded(pa, stage)))
		after := sc.rest() + time.Duration(usual*float64(sc.unloaded(pa, stage)-sc.rest()))
		pi := piece{sc.at.Add(before), sc.first.Add(sc.target - after), sc.pieces[stage]}
		if pi.count == 0 {
			served++
			continue
		}
		all = append(all, pi)
	}
	slices.SortStableFunc(all, func(a, b piece) int { return a.from.Compare(b.from) })
	left := 0.0
	for at := time.Duration(0); at < sharedSpan+sharedTail; at += slot {
		now := began.Add(at)
		for len(all) > 0 && !all[0].from.After(now) {
			waiting, all = append(waiting, all[0]), all[1:]
		}
		slices.SortStableFunc(waiting, func(a, b piece) int { return a.last.Compare(b.last) })
		rate := pa.capacity(stage, at)
		// Moore and Hodgson's rule by the number of pieces.
		sum := 0
		for i := 0; i < len(waiting); i++ {
			sum += waiting[i].count
			if now.Add(time.Duration((float64(sum)-left)/rate*float64(time.Second))).After(waiting[i].last.Add(slot)) && sum > waiting[i].count || waiting[i].last.Before(now) {
				most := i
				for j := range i {
					if waiting[j].count > waiting[most].count {
						most = j
					}
				}
				if waiting[i].last.Before(now) {
					most = i
				}
				sum -= waiting[most].count
				waiting = slices.Delete(waiting, most, most+1)
				i--
			}
		}
		for left = min(left, 2) + rate*slot.Seconds(); len(waiting) > 0 && left >= float64(waiting[0].count); served++ {
			left -= float64(waiting[0].count)
			waiting = waiting[1:]
		}
	}
	return served
}
