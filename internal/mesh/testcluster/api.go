package testcluster

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"cranegrade/internal/mesh/apiclient"
	"cranegrade/internal/mesh/controlplane"
)

// apiTimeout bounds a call to a member.
const apiTimeout = 2 * time.Second

// Host is the host of all routes.
const Host = "shop.example"

// contractTime is the time format of contracts.
const contractTime = "2006-01-02 15:04"

// RouteItem returns a route for ModifyCall.
func RouteItem(name, kind, prefix, service string, version int) map[string]any {
	return map[string]any{
		"Name": name, "RouteType": kind, "TargetLatencyS": 1, "Priority": 1, "ConfigVersion": version,
		"MatchCriteria": map[string]any{"PathPrefix": prefix},
		"ForwardAction": map[string]any{"Service": service, "TimeoutS": 3, "RetryCount": 2},
	}
}

// ModifyCall returns the body of an operator's call that sets services, and routes on Host.
func ModifyCall(version int, services []string, routes ...map[string]any) []byte {
	var groups []map[string]any
	for _, s := range services {
		groups = append(groups, map[string]any{
			"Name": s, "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1",
			"ConfigVersion": version,
		})
	}
	return EncodeCall(map[string]any{"Upsert": map[string]any{
		"UpstreamGroups": groups,
		"ListenerList":   []any{map[string]any{"HostName": Host, "PolicyRules": routes}},
	}})
}

// ContractCall returns the body of an operator's call that sets a contract, which approves maintenance from one time to another. more has
// further fields of the contract.
func ContractCall(name string, version int, from, to time.Time, more map[string]any) []byte {
	contract := map[string]any{
		"Name": name, "ConfigVersion": version, "TimeZone": "UTC", "Approvers": []string{"ana"},
		"MostOut": map[string]any{"Service": 1, "Zone": 4},
		"Dates":   []any{map[string]any{"From": from.UTC().Format(contractTime), "To": to.UTC().Format(contractTime)}},
	}
	maps.Copy(contract, more)
	return EncodeCall(map[string]any{"Upsert": map[string]any{"ContractList": []any{contract}}})
}

// EncodeCall returns the JSON of a call. Calls are maps and structs whose encoding can't fail; it panics if that is not so.
func EncodeCall(call any) []byte {
	text, err := json.Marshal(call)
	if err != nil {
		panic(err)
	}
	return text
}

// Modify sends an operator's change to a member. The status is 0 if there was no answer, and the text says why.
func (x *Machine) Modify(body []byte) (status int, text string) {
	client := http.Client{Timeout: apiTimeout}
	return readResponse(client.Post("http://"+x.Addr("ControlPlane")+"/v1/configuration/modify", "application/json", bytes.NewReader(body)))
}

// Fetch reads the configuration from a member. The status is 0 if there was no answer, and the text says why.
func (x *Machine) Fetch() (status int, text string) {
	client := http.Client{Timeout: apiTimeout}
	return readResponse(client.Get("http://" + x.Addr("ControlPlane") + "/v1/configuration/fetch"))
}

// api returns a client of a member's operators' API.
func (x *Machine) api() apiclient.Client {
	return apiclient.Client{Addr: x.Addr("ControlPlane"), Timeout: apiTimeout}
}

// CallMaintenance sends a call about maintenance to a member, which the leader answers. The status is 0 if there was no answer.
func (x *Machine) CallMaintenance(request controlplane.MaintenanceRequest) (_ controlplane.MaintenanceResponse, status int, text string) {
	response, err := x.api().Maintenance(request)
	var rejected *apiclient.StatusError
	switch {
	case err == nil:
		return response, http.StatusOK, ""
	case errors.As(err, &rejected):
		return response, rejected.Code, rejected.Text
	}
	return response, 0, err.Error()
}

// readResponse reads a response. The status is 0 if there is none, and the text says why.
func readResponse(response *http.Response, err error) (status int, text string) {
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}
