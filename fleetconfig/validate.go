package fleetconfig

import (
	"fmt"
	"strings"
	"time"
)

// Limits on the size of the document, which bound the size of a View.
const (
	maxAccounts   = 200_000
	maxKeys       = 400_000
	maxRoutes     = 20_000
	maxServices   = 2_000
	maxPresets    = 32
	maxEvacuated  = 64
	maxNameBytes  = 64
	maxPathBytes  = 1024
	maxHostBytes  = 253
	maxLabelBytes = 256
)

// Limits on individual fields.
const (
	maxRatePerSecond    = 1_000_000
	maxBurst            = 1_000_000
	maxQueueLength      = 100_000
	maxPercent          = 100
	maxRouteTimeout     = time.Hour
	maxHedgeAfter       = time.Minute
	maxSlowStart        = time.Hour
	maxQuotaGracePeriod = time.Minute
	maxRetryWindow      = 10 * time.Minute
	maxColdStart        = time.Hour
	maxColdOverage      = 100
	maxQuotaWindow      = time.Minute

	maxQuotaSlackPercent = 100
)

// Validate returns the faults of a document: the first MaxFaults and, if there are
// more, a final one that counts the rest. Every document that a StateMachine creates
// is valid.
func Validate(document *Document) []Fault {
	check := &validation{document: document}
	check.sizes()
	check.order()
	check.accounts()
	check.keys()
	check.services()
	check.routes()
	check.presets()
	check.shards()
	check.holders()
	check.evacuations()
	return check.list()
}

// validation collects the faults of one document.
type validation struct {
	faultList
	document     *Document
	accountIDs   accountIndex
	serviceNames map[ServiceName]struct{}
}

func (c *validation) sizes() {
	c.size("accounts", len(c.document.Accounts), maxAccounts)
	c.size("keys", len(c.document.Keys), maxKeys)
	c.size("routes", len(c.document.Routes), maxRoutes)
	c.size("services", len(c.document.Services), maxServices)
	c.size("presets", len(c.document.Presets), maxPresets)
}

func (c *validation) size(subject string, count, limit int) {
	if count > limit {
		c.add(subject, "", fmt.Sprintf("there are %d, more than the limit of %d", count, limit), "remove unused ones")
	}
}

// order checks that the tables are sorted and contain no item twice, which lookups
// depend on.
func (c *validation) order() {
	checkOrder(c, "accounts", c.document.Accounts, compareAccounts)
	checkOrder(c, "keys", c.document.Keys, compareKeys)
	checkOrder(c, "routes", c.document.Routes, compareRoutes)
	checkOrder(c, "services", c.document.Services, compareServices)
	checkOrder(c, "presets", c.document.Presets, comparePresets)
}

func checkOrder[V any](c *validation, subject string, items []V, compare func(a, b *V) int) {
	for i := 1; i < len(items); i++ {
		if compare(&items[i-1], &items[i]) >= 0 {
			c.add(subject, "", "are not sorted or have duplicates", "fetch the document again from another instance")
			return
		}
	}
}

func (c *validation) name(subject, field, name string) {
	if problem := nameProblem(name); problem != "" {
		c.add(subject, field, problem,
			fmt.Sprintf("use 1 to %d letters, digits, dots, hyphens and underscores, a letter or digit first", maxNameBytes))
	}
}

// nameProblem returns what is wrong with a name, or an empty string.
func nameProblem(name string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > maxNameBytes {
		return fmt.Sprintf("is %d bytes long", len(name))
	}
	for i, r := range name {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", r)) {
			return fmt.Sprintf("%q has the character %q, which is not allowed there", name, r)
		}
	}
	return ""
}

func (c *validation) accounts() {
	c.accountIDs = newAccountIndex(c.document.Accounts)
	for i := range c.document.Accounts {
		account := &c.document.Accounts[i]
		// The target is 80,000 accounts, so the subject is built only for a fault.
		if nameProblem(string(account.ID)) != "" {
			c.name("account "+string(account.ID), "id", string(account.ID))
		}
		// The negated form also refuses NaN.
		if !(account.RatePerSecond > 0 && account.RatePerSecond <= maxRatePerSecond) {
			c.add("account "+string(account.ID), "rate_per_second", fmt.Sprintf("%g is out of range", account.RatePerSecond),
				fmt.Sprintf("use a rate above 0 and up to %d; to block the account, withdraw its keys", maxRatePerSecond))
		}
		if account.Burst == 0 || account.Burst > maxBurst {
			c.add("account "+string(account.ID), "burst", fmt.Sprintf("%d is out of range", account.Burst),
				fmt.Sprintf("use a burst of 1 to %d requests", maxBurst))
		}
	}
}

func (c *validation) keys() {
	for i := range c.document.Keys {
		key := &c.document.Keys[i]
		if c.accountIDs.find(key.Account) == nil {
			c.add("key "+string(key.Hash.ID()), "account", fmt.Sprintf("there is no account %q", key.Account),
				"create the account or, if it is being removed, withdraw the key as well")
		}
		if len(key.Label) > maxLabelBytes {
			c.add("key "+string(key.Hash.ID()), "label", fmt.Sprintf("is %d bytes long", len(key.Label)),
				fmt.Sprintf("use at most %d bytes", maxLabelBytes))
		}
		// Key ids must be unique, because a withdrawal refers to a key by its id only.
		if i > 0 && c.document.Keys[i-1].Hash.sameID(key.Hash) {
			c.add("key "+string(key.Hash.ID()), "hash", "another key has this key id", "generate another key")
		}
	}
}

func (c *validation) services() {
	c.serviceNames = make(map[ServiceName]struct{}, len(c.document.Services))
	for i := range c.document.Services {
		service := &c.document.Services[i]
		subject := "service " + string(service.Name)
		c.serviceNames[service.Name] = struct{}{}
		c.name(subject, "name", string(service.Name))
		c.percent(subject, "floor_percent", service.FloorPercent)
		c.duration(subject, "cold_start", service.ColdStart, maxColdStart)
		if !(service.ColdRate >= 0 && service.ColdRate <= maxRatePerSecond) {
			c.add(subject, "cold_rate", fmt.Sprintf("%g is out of range", service.ColdRate),
				fmt.Sprintf("use 0 to %d requests a second; 0 means that cold servers are not limited", maxRatePerSecond))
		}
	}
}

func (c *validation) percent(subject, field string, value uint32) {
	if value > maxPercent {
		c.add(subject, field, fmt.Sprintf("%d is out of range", value), "use 0 to 100 percent")
	}
}

func (c *validation) duration(subject, field string, value, limit time.Duration) {
	if value < 0 || value > limit {
		c.add(subject, field, fmt.Sprintf("%s is out of range", value), fmt.Sprintf("use 0s to %s", limit))
	}
}

func (c *validation) presets() {
	activeCount := 0
	for i := range c.document.Presets {
		preset := &c.document.Presets[i]
		subject := "preset " + preset.Name
		c.name(subject, "name", preset.Name)
		c.percent(subject, "retry_budget_percent", preset.RetryBudgetPercent)
		c.percent(subject, "rate_overage_percent", preset.RateOveragePercent)
		c.duration(subject, "hedge_after", preset.HedgeAfter, maxHedgeAfter)
		c.duration(subject, "quota_bridge", preset.QuotaGracePeriod, maxQuotaGracePeriod)
		c.duration(subject, "slow_start", preset.SlowStart, maxSlowStart)
		c.duration(subject, "retry_window", preset.RetryWindow, maxRetryWindow)
		if !(preset.RetryFloorPerSecond >= 0 && preset.RetryFloorPerSecond <= maxRatePerSecond) {
			c.add(subject, "retry_floor_per_second", fmt.Sprintf("%g is out of range", preset.RetryFloorPerSecond),
				fmt.Sprintf("use 0 to %d retries a second", maxRatePerSecond))
		}
		c.presetRequests(subject, preset)
		if preset.Name == c.document.ActivePreset {
			activeCount++
		}
	}
	// Exactly one preset must be active. More than one matches only if preset names are
	// duplicated, which order reports as a separate fault.
	if activeCount != 1 {
		c.add("preset "+c.document.ActivePreset, "", "is active but does not exist",
			"use another preset before removing this one")
	}
}

// presetRequests checks the fields of a preset that are numbers of requests or refer to them.
func (c *validation) presetRequests(subject string, preset *Preset) {
	if preset.QuotaSlack > maxBurst {
		c.add(subject, "quota_slack", fmt.Sprintf("%d is out of range", preset.QuotaSlack),
			fmt.Sprintf("use 0 to %d requests", maxBurst))
	}
	if !(preset.QuotaSlackPercent >= 0 && preset.QuotaSlackPercent <= maxQuotaSlackPercent) {
		c.add(subject, "quota_slack_percent", fmt.Sprintf("%g is out of range", preset.QuotaSlackPercent),
			fmt.Sprintf("use 0 to %d percent", maxQuotaSlackPercent))
	}
	c.duration(subject, "quota_window", preset.QuotaWindow, maxQuotaWindow)
	if preset.QueueLength > maxQueueLength {
		c.add(subject, "queue_length", fmt.Sprintf("%d is out of range", preset.QueueLength),
			fmt.Sprintf("use 0 to %d requests", maxQueueLength))
	}
	if !(preset.ColdOverage >= 0 && preset.ColdOverage <= maxColdOverage) {
		c.add(subject, "cold_overage", fmt.Sprintf("%g is out of range", preset.ColdOverage),
			fmt.Sprintf("use 0 to %d times the cold rate", maxColdOverage))
	}
	if preset.ColdSlack > maxBurst {
		c.add(subject, "cold_slack", fmt.Sprintf("%d is out of range", preset.ColdSlack),
			fmt.Sprintf("use 0 to %d requests", maxBurst))
	}
}
