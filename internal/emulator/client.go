package emulator

import "time"

// retryJitterDivisor of the latency target is the longest jitter of a client's retry.
const retryJitterDivisor = 8

// clientRequest is a request of a client of the first tier, over its retries.
type clientRequest struct {
	world     *World
	class     *Class
	arrivedAt time.Duration
	counts    *SecondCounts
	retries   int
}

// scheduleArrival schedules the next request. Arrivals are a Poisson process of the highest rate, thinned to the present one.
func (w *World) scheduleArrival() {
	at := w.now + time.Duration(w.random.ExpFloat64()/w.config.MaxRate*float64(time.Second))
	if at > w.config.Duration {
		return
	}
	w.at(at, func() {
		if w.random.Float64()*w.config.MaxRate < w.config.Rate(w.now) {
			w.arrive()
		}
		w.scheduleArrival()
	})
}

// arrive has a request of a client arrive now.
func (w *World) arrive() {
	r := &clientRequest{world: w, class: w.drawClass(), arrivedAt: w.now, counts: &w.Seconds[int(w.now/time.Second)]}
	r.counts.Offered++
	w.Classes[r.class.Key()].Offered++
	w.openRequests++
	r.send()
}

// drawClass draws the class of a request by the weights of the classes.
func (w *World) drawClass() *Class {
	draw := w.random.Float64()
	for i := range w.config.Classes {
		draw -= w.config.Classes[i].Share
		if draw < 0 {
			return &w.config.Classes[i]
		}
	}
	return &w.config.Classes[len(w.config.Classes)-1]
}

// deadline returns when nobody waits for the request any more.
func (r *clientRequest) deadline() time.Duration { return r.arrivedAt + r.class.Deadline }

// send sends the request to a random node.
func (r *clientRequest) send() {
	w := r.world
	node := w.nodes[w.random.IntN(len(w.nodes))]
	node.accept(r.class, r.deadline(), r.retries > 0, r.answered)
}

// answered retries a rejected request as the rejection advises, and counts any other result.
func (r *clientRequest) answered(result callResult, retryAfter time.Duration) {
	w := r.world
	if result == rejected && r.retries < w.config.ClientRetries && w.now+retryAfter < r.deadline() {
		r.retries++
		jitter := time.Duration(w.random.Float64() * float64(r.class.Aim) / retryJitterDivisor)
		w.After(retryAfter+jitter, r.send)
		return
	}
	w.openRequests--
	w.MaxLateness = max(w.MaxLateness, w.now-r.deadline())
	switch {
	case result == served && w.now-r.arrivedAt <= r.class.Aim:
		r.counts.Good++
		w.Classes[r.class.Key()].Good++
	case result == served:
		r.counts.Late++
	case result == rejected:
		r.counts.Rejected++
	default:
		r.counts.Failed++
	}
}
