package fleetconfig

import (
	"fmt"
	"net/netip"
	"strings"
)

// Limits on the shard map, the holders and route splits.
const (
	maxShards   = 4096
	maxReplicas = 7
	// MaxHolders is the maximum number of holders.
	MaxHolders = 7
	// maxSplitParts is the maximum number of services that share a route's requests.
	maxSplitParts = 64
)

// routeKey is the host and path prefix of a route. No two routes may have the same, so
// that exactly one of the routes that match a request takes precedence; see package
// routing.
type routeKey struct {
	host, pathPrefix string
}

func (c *validation) routes() {
	seen := make(map[routeKey]string, len(c.document.Routes))
	for i := range c.document.Routes {
		route := &c.document.Routes[i]
		subject := "route " + route.ID
		c.name(subject, "id", route.ID)
		c.host(subject, route.Host)
		c.pathPrefix(subject, route.PathPrefix)
		c.duration(subject, "timeout", route.Timeout, maxRouteTimeout)
		c.destinations(subject, route)
		if route.Idempotency > IdempotentNever {
			c.add(subject, "idempotency", fmt.Sprintf("%d is unknown", route.Idempotency),
				"use by-method, always or never")
		}
		key := routeKey{host: route.Host, pathPrefix: route.PathPrefix}
		if other, taken := seen[key]; taken {
			c.add(subject, "path_prefix", fmt.Sprintf("route %s has the same host and path prefix", other),
				"change or remove one of them")
		}
		seen[key] = route.ID
	}
}

// destinations checks the services that a route sends requests to.
func (c *validation) destinations(subject string, route *Route) {
	for _, service := range route.Services() {
		if _, found := c.serviceNames[service]; !found {
			c.add(subject, "service", fmt.Sprintf("there is no service %q", service),
				"create the service first, or send the requests of the route to another service")
		}
	}
	total := uint64(0)
	for _, part := range route.Split {
		total += uint64(part.Weight)
	}
	if len(route.Split) > 0 && total == 0 {
		c.add(subject, "split", "all weights are 0", "set the weight of at least one part above 0")
	}
	if len(route.Split) > maxSplitParts {
		c.add(subject, "split", fmt.Sprintf("has %d parts, more than the limit of %d", len(route.Split), maxSplitParts), "use fewer parts")
	}
	c.duration(subject, "objective", route.LatencyTarget, maxRouteTimeout)
}

func (c *validation) host(subject, host string) {
	if len(host) > maxHostBytes || host != strings.ToLower(host) || strings.ContainsAny(host, ":/ \t*@?#") {
		c.add(subject, "host", fmt.Sprintf("%.64q is not a host name", host),
			"use a host name in lower case without a port, or leave it empty to match every host")
	}
}

func (c *validation) pathPrefix(subject, prefix string) {
	valid := strings.HasPrefix(prefix, "/") && len(prefix) <= maxPathBytes && !strings.ContainsAny(prefix, "?# \t\r\n\\%")
	if prefix != "/" {
		for _, segment := range strings.Split(strings.TrimPrefix(prefix, "/"), "/") {
			valid = valid && segment != "" && segment != "." && segment != ".."
		}
	}
	if !valid {
		c.add(subject, "path_prefix", fmt.Sprintf("%.64q is not a path prefix", prefix),
			"use an absolute, unescaped path such as /orders, without empty or dot segments and without a trailing slash")
	}
}

func (c *validation) shards() {
	c.size("shards", len(c.document.Shards.Shards), maxShards)
	for i := range c.document.Shards.Shards {
		replicas := c.document.Shards.Shards[i].Replicas
		subject := fmt.Sprintf("shard %d", i)
		if len(replicas) == 0 || len(replicas) > maxReplicas {
			c.add(subject, "replicas", fmt.Sprintf("has %d replicas, which is out of range", len(replicas)),
				fmt.Sprintf("place the shard on 1 to %d instances", maxReplicas))
		}
		c.instances(subject, "replicas", replicas)
	}
}

func (c *validation) holders() {
	if len(c.document.Holders) > MaxHolders {
		c.add("holders", "", fmt.Sprintf("%d instances are too many", len(c.document.Holders)),
			fmt.Sprintf("name at most %d instances", MaxHolders))
	}
	c.instances("holders", "", c.document.Holders)
}

func (c *validation) instances(subject, field string, instances []InstanceAddress) {
	for i, instance := range instances {
		if problem := nameProblem(string(instance.ID)); problem != "" {
			c.add(subject, field, "an instance id "+problem, "use the id from the instance's settings")
		}
		address, err := netip.ParseAddrPort(instance.Address)
		if err != nil || address.Port() == 0 {
			c.add(subject, field, fmt.Sprintf("instance %s has the address %.64q", instance.ID, instance.Address),
				"use an IP address and UDP port, such as 192.0.2.1:7400")
		}
		if problem := nameProblem(string(instance.FailureDomain)); problem != "" {
			c.add(subject, field, fmt.Sprintf("the failure domain of instance %s %s", instance.ID, problem),
				"use the failure domain from the instance's settings")
		}
		for _, other := range instances[:i] {
			if other.ID == instance.ID {
				c.add(subject, field, fmt.Sprintf("instance %s is listed twice", instance.ID), "list it once")
			}
		}
	}
}
