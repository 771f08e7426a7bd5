package xds

import (
	"slices"

	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
)

// SetLoadReportRequest sets which load reports the control plane asks for, from the next stream on. nil: it asks for none.
func (p *ControlPlane) SetLoadReportRequest(r *loadstats.LoadStatsResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loadReportRequest = r
}

// LoadReports returns all load reports so far.
func (p *ControlPlane) LoadReports() []*loadstats.LoadStatsRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.loadReports)
}

// StreamLoadStats takes the load reports of one stream. The first one is answered with what the control plane asks for.
func (p *ControlPlane) StreamLoadStats(
	stream grpc.BidiStreamingServer[loadstats.LoadStatsRequest, loadstats.LoadStatsResponse],
) error {
	for first := true; ; first = false {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.loadReports = append(p.loadReports, report)
		request := p.loadReportRequest
		p.mu.Unlock()
		if first && request != nil {
			if err := stream.Send(request); err != nil {
				return err
			}
		}
	}
}
