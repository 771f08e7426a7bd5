package fake

import "time"

// All times of a history are durations since the recorder was created.

// Arrival is a request that a server received completely.
type Arrival struct {
	ID, Key, Class string
	Host, Path     string        // as the caller named them
	Server         string        // id of the server
	Incarnation    int           // of the server: 0 for the first, counted up by each restart
	Zone           string        // of the server
	Cell           int           // of the server
	FirstByteAt    time.Duration // when the first byte of the request arrived
	LastByteAt     time.Duration // when the last byte of the request arrived
	Ran            bool          // its effect happened
	Duplicate      bool          // its key was known, so it had no effect
	Unprocessed    bool          // it was rejected with a response that says so and that was written completely
	RequestBytes   int64         // size of the request's body
	ResponseBytes  int64         // size of the response's body once it was written completely; -1: it was not
}

// Exchange is a request and its response as the caller saw them.
type Exchange struct {
	ID, Key, Class string
	Stream         string        // name of the caller's stream that it belongs to
	SentAt         time.Duration // when sending began, for the last time if it was resent
	Deadline       time.Duration // by when the response must have arrived
	AnsweredAt     time.Duration // when the last byte of the response arrived
	Status         int           // of the response; 0: no complete response arrived
	RetryAfter     bool          // the response carries Retry-After
	ForeignBody    bool          // a 200 whose body no server made for this request
	SurplusBytes   bool          // bytes that belong to no request followed the response
	Err            error         // why no complete response arrived
	Connected      bool          // a connection was established; otherwise the request was never accepted
	Resent         bool          // it was sent a second time, because the kept connection had been closed meanwhile
	Process        string        // name of the process that was called, where there are several
}

// Outage is a time in which a process was killed or stopped by the test itself.
type Outage struct {
	Process  string
	From, To time.Duration // To is 0 while it lasts
	Crashed  bool          // the process lost its state; otherwise it was stopped and continued with it
}

// ListUpdate is the state of one server as the registry, or a control plane, wrote it to the program.
type ListUpdate struct {
	List        string // name of the registry, which is the host whose requests its servers serve; "": all hosts
	Server      string
	Withdrawn   bool // the server is draining or removed; otherwise it is serving
	Incarnation int
	At          time.Duration
}

// ServerStart is a restart of a server.
type ServerStart struct {
	Server      string
	Incarnation int
	At          time.Duration
	SlowStart   SlowStart
	Capacity    float64 // requests a second that the server handles once it is warm
}

// WarmupCrash is the crash of a server that received more than its slow start allows.
type WarmupCrash struct {
	Server      string
	Incarnation int
	At          time.Duration
}

// History is a copy of everything that a Recorder holds.
type History struct {
	Classes       map[string]Class // by name
	Arrivals      []Arrival        // in the order in which they were complete
	Exchanges     []Exchange       // in the order in which they ended
	Updates       []ListUpdate
	Starts        []ServerStart
	WarmupCrashes []WarmupCrash
	Outages       []Outage
}
