package poison

import "github.com/citronstream/citronstream"

// Split returns the report in messages with a number of prompt parts each, at most. Prompts of
// long sessions have hundreds, and many requests may run at one upstream. The first message has
// all else.
func (re Report) Split(most int) []Report {
	requests := re.Requests
	re.Requests = nil
	reports := []Report{re}
	room := most
	for _, rq := range requests {
		for first := 0; first < len(rq.Parts); {
			if room == 0 {
				reports = append(reports, Report{ID: re.ID, Upstream: re.Upstream, At: re.At, Age: re.Age, Rest: true})
				room = most
			}
			count := min(room, len(rq.Parts)-first)
			last := &reports[len(reports)-1]
			last.Requests = append(last.Requests, citronstream.SuspectRequest{Digest: rq.Digest, Sent: rq.Sent, Parts: rq.Parts[first : first+count], First: rq.First + first})
			first, room = first+count, room-count
		}
	}
	return reports
}
