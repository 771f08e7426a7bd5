package client

import (
	"testing"
	"time"

	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

// reportedLoad is the sum of load reports.
type reportedLoad struct {
	issued, succeeded, failed, dropped uint64
	inProgress                         uint64 // of the last report
}

func sumReports(t *testing.T, reports []*loadstats.LoadStatsRequest) (sum reportedLoad) {
	t.Helper()
	for _, r := range reports {
		for _, cluster := range r.ClusterStats {
			if cluster.ClusterName != "c" || cluster.LoadReportInterval.AsDuration() <= 0 {
				t.Errorf("%v", cluster)
			}
			sum.dropped += cluster.TotalDroppedRequests
			for _, locality := range cluster.UpstreamLocalityStats {
				if locality.Locality.Zone != "z" || len(locality.UpstreamEndpointStats) == 0 {
					t.Errorf("%v", locality)
				}
				sum.issued += locality.TotalIssuedRequests
				sum.succeeded += locality.TotalSuccessfulRequests
				sum.failed += locality.TotalErrorRequests
				sum.inProgress = locality.TotalRequestsInProgress
			}
		}
	}
	return sum
}

func TestLoadReports(t *testing.T) {
	plane := newControlPlane(t)
	plane.SetLoadReportRequest(&loadstats.LoadStatsResponse{
		SendAllClusters:           true,
		LoadReportingInterval:     durationpb.New(time.Millisecond),
		ReportEndpointGranularity: true,
	})
	setCluster(plane, "c", "10.0.0.1:1", "10.0.0.2:1")
	c := newClient(t, Config{LoadReportInterval: 10 * time.Millisecond}, plane)
	updates, _ := watch(t, c, "c")
	load := c.ClusterLoad("c")
	load.SetAssignment(testkit.Wait(t, updates).Assignment)
	for range 3 {
		load.AttemptStarted("10.0.0.1:1")
	}
	load.AttemptStarted("10.0.0.2:1")
	load.AttemptEnded("10.0.0.1:1", balancer.Success)
	load.AttemptEnded("10.0.0.1:1", balancer.Failure)
	load.RequestDropped()
	want := reportedLoad{issued: 4, succeeded: 1, failed: 1, dropped: 1}
	var inProgress uint64
	testkit.Eventually(t, "the load is not reported", func() bool {
		sum := sumReports(t, plane.LoadReports())
		inProgress, sum.inProgress = sum.inProgress, 0
		return sum == want
	})
	if inProgress != 2 {
		t.Errorf("%d in progress", inProgress)
	}
	if plane.LoadReports()[0].Node.GetId() != "me" {
		t.Error("the first report does not name the node")
	}
}

func TestNilClusterLoad(*testing.T) {
	var load *ClusterLoad
	load.AttemptStarted("x")
	load.AttemptEnded("x", balancer.Success)
	load.SetAssignment(nil)
	load.RequestDropped()
}
