//go:build review

// Command 13 sends requests of a long session, with a prompt part late in it that crashes model
// servers.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/citronstream/citronstream/review/stand3"
)

const (
	badEvery   = 250 * time.Millisecond
	soundEvery = 50 * time.Millisecond
	calm       = 4 * time.Second
	length     = 30 * time.Second
	turns      = 68 // before the bad part
)

func main() { os.Exit(run()) }

func run() int {
	wo, err := stand3.Setup{
		Record: "review/13/record.txt", Gateways: 4, Config: stand3.EngineConfig(3), Kinds: stand3.Kinds[1:],
		Engines: 9, Bad: stand3.BadPart,
	}.Start()
	defer wo.Close()
	if err != nil {
		fmt.Println("the case can't run:", err)
		return stand3.NotRun
	}
	ps := stand3.NewPartSender(wo)
	ps.Turns = turns
	go ps.Every(soundEvery, calm+length, false)
	time.Sleep(calm)
	if stand3.Trouble() {
		wo.Record.Say("clients: requests with part %s begin, beside the sound ones", stand3.BadPart)
		ps.Every(badEvery, length, true)
	} else {
		time.Sleep(length)
	}
	time.Sleep(time.Second)
	wo.Client.Wait()
	out := ps.Judge()
	late := out.Late(func(time.Time) bool { return false })
	wo.Record.Say("%d crashes; %d requests with the part reached engines, %d of them later than contact-ms after the fifth crash; answers %v", len(out.Crashes), len(out.Arrivals), late, out.Answers)
	switch {
	case !wo.AllRun() || stand3.Trouble() && len(out.Crashes) < 3 || out.Answers["sound 200"] < 40:
		return stand3.NotRun
	case late > 3:
		wo.Record.Say("BUDGET is broken")
		return stand3.Broken
	}
	wo.Record.Say("BUDGET held")
	return stand3.Held
}
