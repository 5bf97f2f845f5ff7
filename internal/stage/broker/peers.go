package broker

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// Handle processes messages of peers about jobs. It reports whether the message
// was one.
func (br *Broker) Handle(li *link.Link, re *link.Request) bool {
	switch re.Method {
	case citronstream.MethodRunJob:
		br.handleJob(li, re)
	case citronstream.MethodCancelJob:
		var key citronstream.JobKey
		if re.Decode(&key) == nil {
			if ow := br.localOwner(jobKeyQueue(key)); ow != nil {
				cancelJob(ow, key, "")
			}
		}
	case citronstream.MethodInputsFetched:
		var key citronstream.JobKey
		if re.Decode(&key) == nil {
			if fetched, ok := br.onFetched.Load(key); ok {
				fetched.(func())()
			}
		}
	case citronstream.MethodQueueLoads:
		var qu citronstream.QueueLoads
		if re.Decode(&qu) == nil {
			br.UpdateLoads(qu)
		}
	case citronstream.MethodReleaseResults:
		var rl citronstream.Release
		if re.Decode(&rl) == nil {
			br.releaseLocal(rl)
		}
	default:
		return false
	}
	return true
}

func (br *Broker) handleJob(li *link.Link, re *link.Request) {
	var jo citronstream.Job
	if err := re.Decode(&jo); err != nil {
		re.ReplyError(err)
		return
	}
	ow := br.localOwner(jobKeyQueue(jobKey(&jo)))
	br.mu.Lock()
	leaving := br.leaving
	br.mu.Unlock()
	if ow == nil || leaving {
		re.Reply(citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "this entry does not own service %s", jo.Service)})
		return
	}
	defer br.watch(li)
	key, attempt := jobKey(&jo), jo.Attempt
	answer := func(result citronstream.JobResult) { re.Reply(result) }
	if jo.Resume {
		if !br.peerJobs.Resume(li, key, attempt, answer) {
			answer(citronstream.JobResult{Fault: citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeNotFound, "the job is not known here")})
		}
		return
	}
	br.peerJobs.Add(li, key, attempt, answer)
	ow.Submit(jo, func(result citronstream.JobResult) { br.peerJobs.End(key, attempt, result) }, func() {
		if current, ok := br.peerJobs.Conn(key, attempt); ok {
			_ = current.Notify(citronstream.MethodInputsFetched, key) // if it is lost, the end of the job reports the same
		}
	})
}

// watch notices the end of a link with jobs. It is called after a job was recorded,
// which a link that ends meanwhile must not miss.
func (br *Broker) watch(li *link.Link) {
	br.mu.Lock()
	defer br.mu.Unlock()
	if br.watched[li] || br.ended {
		return
	}
	br.watched[li] = true
	br.links.Go(func() {
		select {
		case <-li.Done():
		case <-br.ctx.Done():
		}
		br.mu.Lock()
		delete(br.watched, li)
		br.mu.Unlock()
		br.peerJobs.Lost(li)
	})
}

// expirePeerJobs ends the jobs whose peers have not asked for them over another link.
func (br *Broker) expirePeerJobs() {
	running, unsent := br.peerJobs.Expire()
	for key, attempt := range running {
		if ow := br.localOwner(jobKeyQueue(key)); ow != nil {
			cancelJob(ow, key, attempt)
		}
	}
	for _, rl := range unsent {
		br.releaseLocal(rl)
	}
}
