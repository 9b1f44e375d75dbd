package pipeline

// Filter handles one concern of an exchange on its way in.
type Filter interface {
	// Name identifies the filter in logs.
	Name() string
	// Request runs before the exchange is forwarded. A returned error ends the
	// walk; a *Refusal is sent to the caller as it is. A filter that has answered
	// the exchange itself returns ErrAnswered.
	Request(exchange *Exchange) error
}

// ResponseFilter is a Filter that also sees the response head before it is sent
// to the caller.
type ResponseFilter interface {
	// Response may change the header of the response. Filters that ran their
	// request half see the response in reverse order.
	Response(exchange *Exchange)
}

// Finisher is a Filter that holds something for the length of the exchange.
type Finisher interface {
	// Finish runs exactly once after the exchange has ended, for each filter whose
	// request half ran, in reverse order.
	Finish(exchange *Exchange)
}

// Chain is an ordered list of filters. It is safe for concurrent use as long as
// its filters are.
type Chain struct {
	filters []Filter
}

// NewChain returns a chain that runs the filters in the given order.
func NewChain(filters ...Filter) *Chain {
	return &Chain{filters: filters}
}

// Serve walks the chain. It returns the error that ended the walk, or nil when
// every filter ran. The caller of Serve sends refusals.
func (c *Chain) Serve(exchange *Exchange) error {
	entered := 0
	defer func() { c.finish(exchange, entered) }()
	exchange.respond = func() { c.respond(exchange, entered) }
	for _, filter := range c.filters {
		entered++
		if err := filter.Request(exchange); err != nil {
			return err
		}
	}
	return nil
}

func (c *Chain) respond(exchange *Exchange, entered int) {
	for i := entered - 1; i >= 0; i-- {
		if filter, ok := c.filters[i].(ResponseFilter); ok {
			filter.Response(exchange)
		}
	}
}

func (c *Chain) finish(exchange *Exchange, entered int) {
	for i := entered - 1; i >= 0; i-- {
		if filter, ok := c.filters[i].(Finisher); ok {
			filter.Finish(exchange)
		}
	}
}
