package sidecar

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

func TestFlowWindow(t *testing.T) {
	for _, c := range []struct {
		name string
		open func(w *flowWindow, cancel context.CancelFunc) // while acquire waits
		want bool
	}{
		{"window update", func(w *flowWindow, _ context.CancelFunc) { w.add(1) }, true},
		{"close", func(w *flowWindow, _ context.CancelFunc) { w.close() }, false},
		{"end of the context", func(_ *flowWindow, cancel context.CancelFunc) { cancel() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var w flowWindow
				w.add(10)
				assert.Assert(t, w.acquire(ctx, 30), "a positive window must admit a larger chunk")
				w.add(20)
				result := make(chan bool, 1)
				go func() { result <- w.acquire(ctx, 1) }()
				synctest.Wait()
				assert.Equal(t, len(result), 0, "acquire must wait for an empty window")
				c.open(&w, cancel)
				assert.Equal(t, <-result, c.want)
			})
		})
	}
}
