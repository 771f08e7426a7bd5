package stage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Route is a route of the configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TargetS, TimeoutS                 float64
	Attempts                          int
	Version                           int
	Priority                          int
}

func (r Route) rule() map[string]any {
	return map[string]any{
		"Name": r.Name, "RouteType": r.Kind, "TargetLatencyS": r.TargetS, "Priority": r.Priority, "ConfigVersion": r.Version,
		"MatchCriteria": map[string]any{"PathPrefix": r.Prefix},
		"ForwardAction": map[string]any{"Service": r.Service, "TimeoutS": r.TimeoutS, "RetryCount": r.Attempts},
	}
}

// Limits are those of PROTOCOL.md's example.
func Limits(version int) map[string]any {
	return map[string]any{
		"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15, "ConfigVersion": version,
	}
}

// Service is a service of the configuration.
func Service(name string, version int) map[string]any {
	return map[string]any{
		"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "TlsEnabled": false, "DedupEnabled": false,
		"ConfigVersion": version,
	}
}

// FirstCall returns the operator's first call.
func FirstCall(services []string, routes ...Route) map[string]any {
	var groups []any
	for _, name := range services {
		groups = append(groups, Service(name, 1))
	}
	return map[string]any{"Upsert": map[string]any{"Limits": Limits(1), "ListenerList": Listeners(routes...), "UpstreamGroups": groups}}
}

// Listeners returns the routes by host.
func Listeners(routes ...Route) []any {
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{"HostName": r.Host, "PolicyRules": []any{r.rule()}})
	}
	return list
}

// Modify sends a change until it is acknowledged, to one core machine after the other. It returns an error if it is refused.
func (m *Mesh) Modify(call map[string]any) error {
	body, err := json.Marshal(call)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: callTimeout}
	for n, deadline := 0, time.Now().Add(StartTime); time.Now().Before(deadline); n++ {
		x := m.Core[n%len(m.Core)]
		response, err := client.Post("http://"+x.ControlPlane()+"/v1/configuration/modify", "application/json", bytes.NewReader(body))
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		response.Body.Close()
		switch {
		case response.StatusCode == http.StatusOK:
			m.Record.Note("operator", "%s acknowledges %s", x.Name, body)
			return nil
		case response.StatusCode/100 == 4:
			return fmt.Errorf("%s refuses a change with %d", x.Name, response.StatusCode)
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("no acknowledgement in %v", StartTime)
}
