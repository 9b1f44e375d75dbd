package backendproxy

import (
	"fmt"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/pipeline"
)

// HeaderLoad carries the load of the backend server back to the ingress.
const HeaderLoad = "Hemlock-Load"

// String returns the load as it is written in HeaderLoad.
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d/%d/%d", l.Running, l.Queued, l.Slots, l.WeightPercent, l.DoubtPercent)
}

// ParseLoad reads a value of HeaderLoad.
func ParseLoad(text string) (load Load, ok bool) {
	const fields = 5
	n, err := fmt.Sscanf(text, "%d/%d/%d/%d/%d",
		&load.Running, &load.Queued, &load.Slots, &load.WeightPercent, &load.DoubtPercent)
	return load, err == nil && n == fields
}

// loadReporter tells the ingress with each response how the backend server fares.
type loadReporter struct {
	registry *Registry
	watch    Watch
}

func (r *loadReporter) report(exchange *pipeline.Exchange) {
	load, known := r.registry.loadOf(exchange.BackendServer)
	if !known {
		return
	}
	now := clock.Now()
	load.WeightPercent = r.watch.WeightPercent(exchange.BackendServer, now)
	load.DoubtPercent = r.watch.DoubtPercent(exchange.BackendServer, now)
	exchange.Writer.Header().Set(HeaderLoad, load.String())
}
