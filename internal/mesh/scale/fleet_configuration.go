package scale

import (
	"fmt"
	"net/http"
	"time"

	"cranegrade/internal/mesh/testcluster"
)

const (
	changeTimeout       = 5 * time.Second       // until a change is acknowledged
	changeRetryInterval = 50 * time.Millisecond // between two attempts to send the same change
)

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }
func routeName(i int) string   { return fmt.Sprintf("route-%05d", i) }

// configure has the complete configuration acknowledged.
func (f *fleet) configure() error {
	f.version = 1
	var services []string
	for i := range f.plan.services {
		services = append(services, serviceName(i))
	}
	var routes []map[string]any
	for i := range f.plan.routes {
		service := serviceName(i % f.plan.services)
		routes = append(routes, testcluster.RouteItem(routeName(i), "keyed", fmt.Sprintf("/r%d/", i), service, f.version))
	}
	body := testcluster.ModifyCall(f.version, services, routes...)
	first := func() *testcluster.Machine { return f.cluster.Members[0] }
	return modifyUntilAcknowledged(body, startTimeout, first, "the configuration is not acknowledged")
}

// change changes the first route, and returns the version that it then has. As operators do, it sends the same change again, to any
// member, until it is acknowledged.
func (f *fleet) change() (version int64, err error) {
	f.version++
	route := testcluster.RouteItem(routeName(0), "keyed", "/r0/", serviceName(0), f.version)
	body := testcluster.ModifyCall(f.version, nil, route)
	anyMember := func() *testcluster.Machine { return f.cluster.Members[f.random.IntN(len(f.cluster.Members))] }
	if err := modifyUntilAcknowledged(body, changeTimeout, anyMember, "a change is answered"); err != nil {
		return 0, err
	}
	return int64(f.version), nil
}

// modifyUntilAcknowledged sends a modification to a member, which it picks anew for each attempt.
func modifyUntilAcknowledged(body []byte, timeout time.Duration, member func() *testcluster.Machine, failure string) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(changeRetryInterval) {
		status, text := member().Modify(body)
		if status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: %d %s", failure, status, text)
		}
	}
}
