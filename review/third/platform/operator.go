//go:build review3

package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Route is a route of a configuration.
type Route struct {
	Name, Host, Prefix, Type, Service string
	TimeoutMs, TargetMs, MaxAttempts  int
	Public                            bool
}

// Tenant is a tenant of a configuration.
type Tenant struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// Config is a configuration.
type Config struct {
	Version, Base uint64
	Routes        []Route
	Services      []string
	Tenants       []Tenant
}

// JSON returns the body of the call that sets the configuration.
func (c *Config) JSON() []byte {
	routes, services, tenants := [][]any{}, [][]any{}, [][]any{}
	for i, r := range c.Routes {
		routes = append(routes, []any{r.Name, r.Host, r.Prefix, r.Type, r.TimeoutMs, r.TargetMs, 1 + i%2, r.Service, r.MaxAttempts, r.Public, nil})
	}
	for _, s := range c.Services {
		services = append(services, []any{s, "/health", 390, "h1", false})
	}
	for _, t := range c.Tenants {
		tenants = append(tenants, []any{t.Name, t.Keys, 1, t.Rate, t.Burst})
	}
	body, _ := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("%08x", c.Version), "BaseVersion": fmt.Sprintf("%08x", c.Base),
		"Routes":   map[string]any{"Columns": []string{"Name", "Host", "PathPrefix", "RouteType", "TimeoutMs", "TargetLatencyMs", "Priority", "Service", "MaxAttempts", "Public", "TrafficSplit"}, "Rows": routes},
		"Services": map[string]any{"Columns": []string{"Name", "HealthPath", "MaxConnections", "Protocol", "Tls"}, "Rows": services},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  map[string]any{"Columns": []string{"Name", "ApiKeys", "Priority", "RatePerS", "Burst"}, "Rows": tenants},
	})
	return body
}

var operatorClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Put sends a configuration once to a machine.
func Put(m *Machine, body []byte) (int, string) {
	request, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/v1/config", m.IP, ControlPort), bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(text)
}

// PutUntil sends a configuration to the core machines in turn until one acknowledges or refuses it.
func (f *Fleet) PutUntil(body []byte, timeout time.Duration) (int, string) {
	status, text := 0, ""
	for end, i := time.Now().Add(timeout), 0; time.Now().Before(end); i++ {
		status, text = Put(f.Core[i%len(f.Core)], body)
		if status == 200 || status == 400 || status == 412 {
			return status, text
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, text
}

// Get reads the configuration at a machine.
func Get(m *Machine) (int, []byte) {
	response, err := operatorClient.Get(fmt.Sprintf("http://%s:%d/v1/config", m.IP, ControlPort))
	if err != nil {
		return 0, nil
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, body
}

// Ready reports whether the machine says that it is ready.
func (m *Machine) Ready() bool {
	response, err := operatorClient.Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.IP, ReadyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

// WaitReady waits until the machines are ready.
func WaitReady(machines []*Machine, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for _, m := range machines {
		for !m.Ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
