package envoyconf

import (
	"fmt"
	"slices"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
)

// defaultMessageTimeout is the default of ExternalProcessor.message_timeout.
const defaultMessageTimeout = 200 * time.Millisecond

// checkProcessorFilter checks the filter that asks the processor.
func (c *checker) checkProcessorFilter(path string, filter *extprocv3.ExternalProcessor) {
	if filter.GetFailureModeAllow() {
		c.add(Finding{
			Path:    path + ".failure_mode_allow",
			Problem: "when the processor does not answer, requests are sent without a decision: to servers that are draining, warming up or unhealthy",
			Remedy:  "leave it false",
		})
	}
	if filter.GetObservabilityMode() {
		c.add(Finding{
			Path:    path + ".observability_mode",
			Problem: "the proxy does not wait for the processor, so decisions have no effect",
			Remedy:  "leave it false",
		})
	}
	timeout := defaultMessageTimeout
	if filter.GetMessageTimeout() != nil {
		timeout = filter.GetMessageTimeout().AsDuration()
	}
	if timeout <= c.settings.DecisionTimeout {
		c.add(Finding{
			Path: path + ".message_timeout",
			Problem: fmt.Sprintf("%v is no longer than the processor's decide_within of %v, so decisions can come too late",
				timeout, c.settings.DecisionTimeout),
			Remedy: "make it longer, or decide_within shorter",
		})
	}
	if filter.GetDisableImmediateResponse() {
		c.add(Finding{
			Path:    path + ".disable_immediate_response",
			Problem: "the processor can't reject a request: its answers end as errors of the stream",
			Remedy:  "leave it false",
		})
	}
	c.checkProcessingMode(path+".processing_mode", filter.GetProcessingMode())
	if rules := filter.GetMutationRules(); rules != nil && rules.GetDisallowAll().GetValue() {
		c.add(Finding{
			Path:    path + ".mutation_rules.disallow_all",
			Problem: "the processor may not set headers, so its decision is dropped",
			Remedy:  "leave it out",
		})
	}
}

// checkProcessingMode checks which parts of a request and a response the processor is sent.
func (c *checker) checkProcessingMode(path string, mode *extprocv3.ProcessingMode) {
	if mode.GetRequestHeaderMode() == extprocv3.ProcessingMode_SKIP {
		c.add(Finding{
			Path:    path + ".request_header_mode",
			Problem: "the processor is not asked about requests",
			Remedy:  "make it SEND",
		})
	}
	if mode.GetResponseHeaderMode() == extprocv3.ProcessingMode_SKIP {
		c.add(Finding{
			Path:    path + ".response_header_mode",
			Problem: "the processor does not learn how a request ended, so the request's slot stays taken until its stream ends, and failures are not noticed",
			Remedy:  "make it SEND",
		})
	}
	bodyMode := mode.GetRequestBodyMode()
	if bodyMode == extprocv3.ProcessingMode_BUFFERED || bodyMode == extprocv3.ProcessingMode_BUFFERED_PARTIAL {
		c.add(Finding{
			Path:    path + ".request_body_mode",
			Problem: "a request is sent only when its body has arrived, which can be more than 250 ms after its server began to drain",
			Remedy:  "make it NONE: the decision does not need the body",
		})
	}
}

// receivesMetadata reports whether the filter lets a processor set dynamic metadata of a namespace.
func receivesMetadata(filter *extprocv3.ExternalProcessor, namespace string) bool {
	return slices.Contains(filter.GetMetadataOptions().GetReceivingNamespaces().GetUntyped(), namespace)
}
