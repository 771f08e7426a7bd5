package line

import (
	"net/http"
	"strconv"

	"hollyspur"
	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/message"
	sender "hollyspur/internal/sender/http1"
)

// serverSpeech is the mesh's words towards its server. It implements sender.Speech.
type serverSpeech struct{}

func (serverSpeech) Head(a *engine.Attempt, h http.Header) {
	m := a.Payload.(*message.Request)
	h["User-Agent"] = m.Header["User-Agent"]
	h[hBudget] = []string{strconv.FormatInt(max(1, a.Timeout.Milliseconds()), 10)}
	h[hTarget] = []string{a.Endpoint.ID}
}

// Matches implements sender.Speech. An answer that turns a request away need not say which; a success that names none is no
// answer to any.
func (serverSpeech) Matches(m *message.Request, resp *http.Response) sender.Match {
	switch got := resp.Header.Get(hAttempt); {
	case got == m.Note.(*wire.RequestT).Attempt:
		return sender.OfRequest
	case got == "" && resp.StatusCode/100 != 2:
		return sender.Unnamed
	}
	return sender.OfAnother
}

// promises are the statuses with which a server may say that it has not run a request. With any other that word contradicts
// the answer, and is not believed.
var promises = map[int]bool{http.StatusBadRequest: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// Ending implements sender.Speech.
func (serverSpeech) Ending(resp *http.Response) (hollyspur.Ending, bool) {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return hollyspur.Unreachable, false
	case resp.Header.Get(hNotRun) != "" && promises[resp.StatusCode]:
		return hollyspur.Overloaded, false
	case resp.StatusCode >= 500:
		return hollyspur.Failure, true
	case resp.StatusCode/100 == 2 && resp.Header.Get(hSeal) == "":
		return hollyspur.Broken, false // no answer of a server's
	}
	return hollyspur.Success, true
}

func (serverSpeech) Word(resp *http.Response) (int, []message.Field, string) {
	h := make([]message.Field, 0, len(resp.Header))
	for name, values := range resp.Header {
		if hops[name] {
			continue
		}
		for _, v := range values {
			h = append(h, message.Field{Name: name, Value: v})
		}
	}
	return resp.StatusCode, h, ""
}

var _ sender.Speech = serverSpeech{}
