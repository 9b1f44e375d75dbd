package ctl

import (
	"context"
	"fmt"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// printList prints the items as JSON, or in the text form that format returns.
func printList[V any](s *session, items []V, format func(*V) string) error {
	if s.connection.JSON {
		return s.printJSON(items)
	}
	for i := range items {
		s.printf("%s\n", format(&items[i]))
	}
	return nil
}

// setIfGiven sets a field to the value of a flag if the flag was given.
func setIfGiven[V any](field, flag *V) {
	if flag != nil {
		*field = *flag
	}
}

func (s *session) account(ctx context.Context, command *AccountCommand) error {
	document, err := s.client.Document(ctx)
	if err != nil {
		return err
	}
	switch {
	case command.Set != nil:
		change := fleetconfig.Change{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: fleetconfig.AccountID(command.Set.Name)}}
		if existing := fleetconfig.NewView(document).Account(change.Account.ID); existing != nil {
			change.Kind, change.Account = fleetconfig.UpdateAccount, existing
		}
		setIfGiven(&change.Account.RatePerSecond, command.Set.Rate)
		setIfGiven(&change.Account.Burst, command.Set.Burst)
		return s.change(ctx, document.Version, []fleetconfig.Change{change})
	case command.Remove != nil:
		return s.change(ctx, document.Version, []fleetconfig.Change{{Kind: fleetconfig.RemoveAccount, Name: command.Remove.Name}})
	}
	return printList(s, document.Accounts, func(a *fleetconfig.Account) string {
		return fmt.Sprintf("%s\trate %g/s\tburst %d", a.ID, a.RatePerSecond, a.Burst)
	})
}

func (s *session) service(ctx context.Context, command *ServiceCommand) error {
	document, err := s.client.Document(ctx)
	if err != nil {
		return err
	}
	switch {
	case command.Set != nil:
		change := fleetconfig.Change{Kind: fleetconfig.CreateService, Service: &fleetconfig.Service{Name: fleetconfig.ServiceName(command.Set.Name)}}
		if existing := fleetconfig.NewView(document).Service(change.Service.Name); existing != nil {
			change.Kind, change.Service = fleetconfig.UpdateService, existing
		}
		setIfGiven(&change.Service.FloorSlots, command.Set.FloorSlots)
		setIfGiven(&change.Service.FloorPercent, command.Set.FloorPercent)
		return s.change(ctx, document.Version, []fleetconfig.Change{change})
	case command.Remove != nil:
		return s.change(ctx, document.Version, []fleetconfig.Change{{Kind: fleetconfig.RemoveService, Name: command.Remove.Name}})
	}
	return printList(s, document.Services, func(v *fleetconfig.Service) string {
		return fmt.Sprintf("%s\tfloor %d slots\tfloor %d%%", v.Name, v.FloorSlots, v.FloorPercent)
	})
}

func (s *session) route(ctx context.Context, command *RouteCommand) error {
	document, err := s.client.Document(ctx)
	if err != nil {
		return err
	}
	switch {
	case command.Set != nil:
		return s.change(ctx, document.Version, []fleetconfig.Change{routeChange(document, command.Set)})
	case command.Remove != nil:
		return s.change(ctx, document.Version, []fleetconfig.Change{{Kind: fleetconfig.RemoveRoute, Name: command.Remove.Name}})
	}
	return printList(s, document.Routes, func(r *fleetconfig.Route) string {
		return fmt.Sprintf("%s\t%s%s\tservice %s\topen to all %v\tidempotency %s\ttimeout %s\tlarge answers %v\tbelow prefix %v",
			r.ID, r.Host, r.PathPrefix, r.Service, r.OpenToAll, r.Idempotency, r.Timeout, r.LargeResponses, r.BelowPrefix)
	})
}

func routeChange(document *fleetconfig.Document, command *RouteSetCommand) fleetconfig.Change {
	change := fleetconfig.Change{Kind: fleetconfig.CreateRoute, Route: &fleetconfig.Route{ID: command.Name}}
	for i := range document.Routes {
		if document.Routes[i].ID == command.Name {
			change.Kind, change.Route = fleetconfig.UpdateRoute, &document.Routes[i]
		}
	}
	setIfGiven(&change.Route.Host, command.Host)
	setIfGiven(&change.Route.PathPrefix, command.PathPrefix)
	setIfGiven(&change.Route.BelowPrefix, command.BelowPrefix)
	if command.Service != nil {
		change.Route.Service = fleetconfig.ServiceName(*command.Service)
	}
	setIfGiven(&change.Route.OpenToAll, command.OpenToAll)
	setIfGiven(&change.Route.Idempotency, command.Idempotency)
	setIfGiven(&change.Route.Timeout, command.Timeout)
	setIfGiven(&change.Route.LargeResponses, command.LargeAnswers)
	return change
}

func (s *session) preset(ctx context.Context, command *PresetCommand) error {
	document, err := s.client.Document(ctx)
	if err != nil {
		return err
	}
	if command.Use != nil {
		return s.change(ctx, document.Version, []fleetconfig.Change{{Kind: fleetconfig.UsePreset, Name: command.Use.Name}})
	}
	return printList(s, document.Presets, func(p *fleetconfig.Preset) string {
		marker := " "
		if p.Name == document.ActivePreset {
			marker = "*"
		}
		return fmt.Sprintf("%s %s\tretry budget %s\thedge after %s\tqueue %d\tejection %v\tslow start %s",
			marker, p.Name, retryBudgetText(p), p.HedgeAfter, p.QueueLength, p.EjectionEnabled, p.SlowStart)
	})
}

// retryBudgetText returns the limits on the retries of a preset, and those for the whole fleet if
// it has any.
func retryBudgetText(p *fleetconfig.Preset) string {
	if p.RetryWindow <= 0 {
		return fmt.Sprintf("%d%%", p.RetryBudgetPercent)
	}
	return fmt.Sprintf("%d%% and %g in every %s over the fleet", p.RetryBudgetPercent, p.RetryFloorPerSecond*p.RetryWindow.Seconds(), p.RetryWindow)
}
