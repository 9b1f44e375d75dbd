package queue

import "time"

// Parameters of the estimates of service times.
const (
	// serviceTimeGain is the weight of a new sample in the mean service time.
	serviceTimeGain = 0.1
	// medianGain is the relative step by which a median moves towards a sample.
	medianGain = 0.05
	// initialServiceTime is the expected service time before any request has finished.
	initialServiceTime = 10 * time.Millisecond
	// MinSlowness and MaxSlowness bound the estimate of a server's slowness, so that a few
	// odd responses neither draw all requests to a server nor keep all away.
	MinSlowness = 0.25
	MaxSlowness = 4.0
)

// recordServiceTime updates the estimates with the time for which a finished request held
// its slot. expected is the usual service time of such a request, or zero.
func (q *Queue) recordServiceTime(serviceTime, expected time.Duration) {
	q.serviceTime += time.Duration(serviceTimeGain * float64(serviceTime-q.serviceTime))
	q.medianServiceTime = max(time.Duration(stepMedian(float64(q.medianServiceTime), float64(serviceTime))), time.Microsecond)
	if expected > 0 {
		ratio := min(max(float64(serviceTime)/float64(expected), MinSlowness), MaxSlowness)
		q.heldRatio += serviceTimeGain * (ratio - q.heldRatio)
	}
}

// stepMedian moves a median towards a sample. The first sample replaces a median of zero.
func stepMedian(median, sample float64) float64 {
	switch step := 1 + medianGain; {
	case median == 0:
		return sample
	case sample > median:
		return min(sample, median*step)
	default:
		return max(sample, median/step)
	}
}

// RecordResponse records that the server has responded to a request after the given time.
// expected is the usual time of such a request at all servers of its service, or zero. It
// must not be called for failed requests, which may end at once.
func (q *Queue) RecordResponse(took, expected time.Duration) {
	if expected > 0 {
		ratio := min(max(float64(took)/float64(expected), MinSlowness), MaxSlowness)
		q.slowness = stepMedian(q.slowness, ratio)
	}
}

// Slowness returns the median of the server's response times relative to the usual ones of
// the same requests, from MinSlowness to MaxSlowness, or 0 if it is not known.
func (q *Queue) Slowness() float64 { return q.slowness }

// work returns the expected time for which the request will hold a slot.
func (q *Queue) work(item *Item) time.Duration {
	if item.ServiceTime <= 0 {
		return q.serviceTime
	}
	return time.Duration(q.heldRatio * float64(item.ServiceTime))
}

// workOf returns the sum of the work of the requests.
func (q *Queue) workOf(items []Item) time.Duration {
	var sum time.Duration
	for i := range items {
		sum += q.work(&items[i])
	}
	return sum
}

// responseTime returns the time after which the request is usually answered once it has a
// slot. It follows from medians, which a few hanging requests do not change.
func (q *Queue) responseTime(item *Item) time.Duration {
	switch {
	case item.ServiceTime <= 0:
		return q.medianServiceTime
	case q.slowness == 0:
		return item.ServiceTime
	}
	return time.Duration(q.slowness * float64(item.ServiceTime))
}
