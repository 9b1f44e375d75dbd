package retry

import (
	"math"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// maxRanks is how many urgencies a demand tells apart, which bounds its size. Services
	// have two or three.
	maxRanks = 4
	// demandHalfLife is the time in which a repeat that asked for credit loses half of its
	// weight. It is about as long as a short failure lasts, so that credit is not kept for
	// repeats that no longer come.
	demandHalfLife = time.Second
	// minDemand is the weight under which demand is forgotten.
	minDemand = 0.5
)

// demand is how many repeats have lately asked for the credit of one backend server, by
// urgency. The zero value is no demand.
type demand struct {
	ranks [maxRanks]rankDemand
}

// rankDemand is the demand of one urgency.
type rankDemand struct {
	urgency fleetconfig.Urgency
	// asked is the weighted number of repeats, as of at.
	asked float64
	at    time.Time
}

// weight returns the weighted number of repeats, or 0 if it is less than minDemand.
func (r *rankDemand) weight(now time.Time) float64 {
	halfLives := max(0, now.Sub(r.at)).Seconds() / demandHalfLife.Seconds()
	if weight := r.asked * math.Exp2(-halfLives); weight >= minDemand {
		return weight
	}
	return 0
}

// record records that a repeat asks for credit. With more than maxRanks urgencies, the least
// urgent ones are left out.
func (d *demand) record(urgency fleetconfig.Urgency, now time.Time) {
	var place *rankDemand
	for i := range d.ranks {
		rank := &d.ranks[i]
		weight := rank.weight(now)
		switch {
		case weight > 0 && rank.urgency == urgency:
			rank.asked, rank.at = weight+1, now
			return
		case weight == 0:
			rank.asked, rank.urgency = 0, fleetconfig.LeastUrgent
		}
		if place == nil || rank.urgency > place.urgency || (rank.urgency == place.urgency && rank.asked == 0) {
			place = rank
		}
	}
	if place.asked == 0 || urgency < place.urgency {
		*place = rankDemand{urgency: urgency, asked: 1, at: now}
	}
}

// moreUrgent returns how many repeats that are more urgent have lately asked for credit, and
// may do so again.
func (d *demand) moreUrgent(urgency fleetconfig.Urgency, now time.Time) float64 {
	asked := 0.0
	for i := range d.ranks {
		if rank := &d.ranks[i]; rank.urgency < urgency {
			asked += rank.weight(now)
		}
	}
	return math.Round(asked)
}
