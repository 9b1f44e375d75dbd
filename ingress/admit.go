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

// Retry-After durations of refusals.
const (
	// retryAfterTransient is for conditions that may pass without action by the
	// caller. Malformed requests and bodies that could not be read use it too.
	retryAfterTransient = time.Second
	// retryAfterClientError is for requests that fail until the caller or the
	// operator changes something.
	retryAfterClientError = 5 * time.Second
)

// routeFilter matches the route and records the configuration that all later filters
// of the exchange use.
type routeFilter struct {
	configuration Configuration
	table         atomic.Pointer[versionedTable]
	splits        splitSequence
}

// versionedTable is the route table built from one version of the configuration.
type versionedTable struct {
	view  *fleetconfig.View
	table *routing.Table
}

// Name implements pipeline.Filter.
func (*routeFilter) Name() string { return "route" }

// Request implements pipeline.Filter.
func (f *routeFilter) Request(exchange *pipeline.Exchange) error {
	current := f.routeTable(f.configuration.View())
	exchange.View = current.view
	route := current.table.Match(exchange.Request.Host, routing.PathOf(exchange.Request.URL))
	if route == nil {
		if err := requireCurrent(f.configuration); err != nil {
			return err
		}
		return pipeline.NewNotRunRefusal(pipeline.KindNoRoute, http.StatusNotFound,
			"no route matches this host and path", "check the address, or ask the operator for a route", retryAfterClientError)
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

// routeTable returns the route table of the view. It rebuilds the table only when
// the view has changed.
func (f *routeFilter) routeTable(view *fleetconfig.View) *versionedTable {
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

// currencyFilter rejects requests to routes that require a key while this instance
// cannot confirm that its configuration is current. An instance that has not learned
// of the withdrawal of a key therefore does not go on accepting the key.
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

// requireCurrent returns a refusal if the configuration is not confirmed as current.
func requireCurrent(configuration Configuration) error {
	current, retryAfter := configuration.Current(clock.Now())
	if current {
		return nil
	}
	return pipeline.NewNotRunRefusal(pipeline.KindConfigurationNotCurrent, http.StatusServiceUnavailable,
		"this instance cannot confirm that its routes and keys are current",
		"send the request to another instance, or retry later", retryAfter)
}

// authenticateFilter admits a request to a route that requires a key only if the key
// and its client account are in the configuration.
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
			"the route requires a key", "send the key as 'Authorization: Bearer KEY'", retryAfterClientError)
	}
	hash := fleetconfig.HashKey(presented)
	key := exchange.View.KeyByHash(hash)
	if key == nil || exchange.View.Account(key.Account) == nil {
		return pipeline.NewNotRunRefusal(pipeline.KindKeyRejected, http.StatusUnauthorized,
			"the key is not valid or was withdrawn", "ask the operator for a new key", retryAfterClientError)
	}
	exchange.Account = key.Account
	exchange.KeyID = hash.ID()
	return nil
}
