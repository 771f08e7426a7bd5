package node

import (
	"fmt"
	"testing"

	"cranegrade/balancer"
	"cranegrade/internal/wire"
)

// Members of a fleet compare digests of their settings (settingsDigests). The digest covers the names of the fields, which are part of
// what is sent therefore: a member of an earlier build would take a renamed field for other settings. So the names are pinned here.
func TestSettingsDigestKeepsFieldNames(t *testing.T) {
	settings := balancer.Settings{Classes: []balancer.Class{{Name: "a"}}, Tenants: []balancer.Tenant{{Name: "t"}}}
	const earlier = "{Classes:[{Name:a Effect:0 Scope:0 Window:0s Aim:0s Deadline:0s Typical:0s First:false LateShare:0 Worth:0 Stream:false}] Balancers:0 Index:0 Tier:0 WholeWeight:0 ClassWeight:0 TenantWeight:0 Tenants:[{Name:t Quota:0}] OverShare:0" +
		" WorstTenantWeight:0 MaxAttempts:0 SecondCopies:false StartCalls:0 Spares:0 MayCancel:false Sizes:0 AskDiscovery:false AskWithin:0s ToldAfter:0s Tick:0s MaxRetryAfter:0s ColdFrom:0 WarmAfter:0s FallMultiple:0 FallFor:0s}"
	if got := fmt.Sprintf("%+v", settings); got != earlier {
		t.Errorf("settings are digested as\n%s\nby an earlier build as\n%s", got, earlier)
	}
	const earlierConnections = "{Idle:0s ConnectWithin:0s}"
	if got := fmt.Sprintf("%+v", wire.Connections{}); got != earlierConnections {
		t.Errorf("connections are digested as %s, by an earlier build as %s", got, earlierConnections)
	}
}
