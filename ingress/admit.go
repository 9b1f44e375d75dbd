package ingress

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/routing"
)

// Waits that refusals tell the caller.
const (
	retrySoon = time.Second
	retryKey  = 5 * time.Second
)

// routeFilter finds the route and fixes the configuration that the exchange is
// judged by.
type routeFilter struct {
	configuration Configuration
	table         atomic.Pointer[versionedTable]
	splits        splitSequence
}

// versionedTable is the route table of one version of the configuration.
type versionedTable struct {
	view  *fleetconfig.View
	table *routing.Table
}

// Name implements pipeline.Filter.
func (*routeFilter) Name() string { return "route" }

// Request implements pipeline.Filter.
func (f *routeFilter) Request(exchange *pipeline.Exchange) error {
	current := f.tableOf(f.configuration.View())
	exchange.View = current.view
	route := current.table.Match(exchange.Request.Host, exchange.Request.URL.Path)
	if route == nil {
		if err := requireCurrent(f.configuration); err != nil {
			return err
		}
		return pipeline.NewNotRunRefusal(pipeline.KindNoRoute, http.StatusNotFound,
			"no route serves this host and path", "check the address, or ask the operator for a route", retryKey)
	}
	exchange.Route = route
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = fleetconfig.DefaultRouteTimeout
	}
	if exchange.CallerTimeout > 0 {
		timeout = min(timeout, exchange.CallerTimeout)
	}
	exchange.Deadline = exchange.Received.Add(timeout)
	exchange.Service = route.Service
	if len(route.Split) > 0 {
		exchange.Service = routing.ChooseService(route.Split, f.splits.next())
	}
	exchange.Idempotent = isIdempotent(route.Idempotency, exchange.Request.Method)
	return nil
}

// tableOf returns the route table of the view, built once for each view.
func (f *routeFilter) tableOf(view *fleetconfig.View) *versionedTable {
	current := f.table.Load()
	if current != nil && current.view == view {
		return current
	}
	current = &versionedTable{view: view, table: routing.NewTable(view.Document().Routes)}
	f.table.Store(current)
	return current
}

func isIdempotent(idempotency fleetconfig.Idempotency, method string) bool {
	switch idempotency {
	case fleetconfig.IdempotentAlways:
		return true
	case fleetconfig.IdempotentNever:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// currencyFilter refuses keyed requests while nobody vouches that the
// configuration is current, so that a withdrawn key stops working everywhere.
type currencyFilter struct {
	configuration Configuration
}

// Name implements pipeline.Filter.
func (*currencyFilter) Name() string { return "currency" }

// Request implements pipeline.Filter.
func (f *currencyFilter) Request(exchange *pipeline.Exchange) error {
	if exchange.Route.OpenToAll {
		return nil
	}
	if err := requireCurrent(f.configuration); err != nil {
		return err
	}
	exchange.CurrentUntil = f.configuration.CurrentUntil()
	return nil
}

// requireCurrent returns a refusal while nobody vouches that the configuration is
// current.
func requireCurrent(configuration Configuration) error {
	current, retryAfter := configuration.Current(clock.Now())
	if current {
		return nil
	}
	return pipeline.NewNotRunRefusal(pipeline.KindConfigurationNotCurrent, http.StatusServiceUnavailable,
		"this instance is cut off and can not tell which routes and keys are in force",
		"send the request to another instance, or again later", retryAfter)
}

// authenticateFilter lets a request in only with a key that is given out.
type authenticateFilter struct{}

// Name implements pipeline.Filter.
func (*authenticateFilter) Name() string { return "authenticate" }

// Request implements pipeline.Filter.
func (*authenticateFilter) Request(exchange *pipeline.Exchange) error {
	presented := exchange.Key
	exchange.Key = ""
	if exchange.Route.OpenToAll {
		return nil
	}
	if presented == "" {
		return pipeline.NewNotRunRefusal(pipeline.KindKeyMissing, http.StatusUnauthorized,
			"the route needs a key", "send the key as 'Authorization: Bearer KEY'", retryKey)
	}
	hash := fleetconfig.HashKey(presented)
	key := exchange.View.KeyByHash(hash)
	if key == nil || exchange.View.Account(key.Account) == nil {
		return pipeline.NewNotRunRefusal(pipeline.KindKeyRejected, http.StatusUnauthorized,
			"the key is not valid, or was withdrawn", "ask the operator for a new key", retryKey)
	}
	exchange.Account = key.Account
	exchange.KeyID = hash.ID()
	return nil
}
