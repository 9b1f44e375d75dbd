package pipeline

// Filter handles one concern of an exchange.
type Filter interface {
	// Name identifies the filter in logs.
	Name() string
	// Request handles the exchange. If it returns an error, no further filter runs.
	// A *Refusal is sent to the caller unchanged. A filter that has sent the whole
	// response itself returns ErrAnswered.
	Request(exchange *Exchange) error
}

// ResponseFilter is implemented by a Filter that also handles the response header
// before it is sent to the caller.
type ResponseFilter interface {
	// Response may change the header of the response. It is called for the filters
	// whose Request has been called, in reverse order.
	Response(exchange *Exchange)
}

// Finisher is implemented by a Filter that holds a resource for the duration of the
// exchange.
type Finisher interface {
	// Finish is called exactly once after the exchange has ended, for each filter
	// whose Request has been called, in reverse order.
	Finish(exchange *Exchange)
}

// Chain is an ordered list of filters. It is safe for concurrent use if its filters
// are.
type Chain struct {
	filters []Filter
}

// NewChain returns a Chain that runs the filters in the given order.
func NewChain(filters ...Filter) *Chain {
	return &Chain{filters: filters}
}

// Serve runs the filters in order. It returns the error of the filter that ended the
// chain, or nil if every filter ran. It does not send refusals to the caller; the
// code that calls Serve does.
func (c *Chain) Serve(exchange *Exchange) error {
	entered := 0
	defer func() { c.runFinishers(exchange, entered) }()
	exchange.runResponseFilters = func() { c.runResponseFilters(exchange, entered) }
	for _, filter := range c.filters {
		entered++
		if err := filter.Request(exchange); err != nil {
			return err
		}
	}
	return nil
}

func (c *Chain) runResponseFilters(exchange *Exchange, entered int) {
	for i := entered - 1; i >= 0; i-- {
		if filter, ok := c.filters[i].(ResponseFilter); ok {
			filter.Response(exchange)
		}
	}
}

func (c *Chain) runFinishers(exchange *Exchange, entered int) {
	for i := entered - 1; i >= 0; i-- {
		if filter, ok := c.filters[i].(Finisher); ok {
			filter.Finish(exchange)
		}
	}
}
