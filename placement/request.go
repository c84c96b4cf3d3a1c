package placement

import (
	"time"

	"github.com/wigeonlock/wigeonlock/worker"
)

// Request holds the properties of a request that decide its worker.
type Request struct {
	Service string
	// Route is the name of the route: its runs take about the same time.
	Route string
	// Object identifies what the request concerns. The caller sets a unique value, such
	// as the request ID, for requests without an object, which spreads them.
	Object string
	// Sticky is set if a worker that ran a request for the object serves others faster.
	Sticky bool
	// MayServe reports whether workers of a region may serve the request.
	MayServe func(region string) bool
	// Bound is set if only some regions may serve the request.
	Bound bool
	// Closed reports whether a zone accepts no new requests.
	Closed func(zone string) bool
	// TimeLeft is the time left to the deadline, or zero if there is none.
	TimeLeft time.Duration
	// Tried lists the IDs of the workers of earlier attempts.
	Tried []string
	// Large is set if answers are so large that transferring one from another
	// region costs about as much as the answer is worth.
	Large bool
	// Again is set if Choose was called for the request before, and a permit was pending.
	Again bool
	// Returning is set if the caller was refused before and was told to return.
	Returning bool
	// RegionInstances is the number of instances that share the region's requests,
	// Instances the number of those that share the requests of all regions.
	RegionInstances int
	Instances       int
	// Permit requests a permit to send the request to a worker, which may be cold or have
	// named a limit. A granted permit counts against the limits of the worker.
	Permit func(w *worker.Worker, cold bool) Permission
	// ShareOf, if set, returns the part of its objects that a worker keeps, from 0 to 1.
	// A worker that named a limit keeps only some.
	ShareOf func(w *worker.Worker) float64
}

// Permission is the answer to a request for a permit.
type Permission string

// Permissions.
const (
	Granted Permission = "granted"
	Denied  Permission = "denied"
	// Pending means that the answer is not known yet: Choose has to be called again.
	Pending Permission = "pending"
)

// Choice is the result of Choose.
type Choice struct {
	Worker *worker.Worker
	Reason Reason
	// FullWorker is the ID of the first assigned worker if it has no capacity.
	FullWorker string
	// Load is the estimated load of Worker, or of FullWorker, in requests per slot.
	Load float64
	// Rank is the position of Worker in the ranking; 0 is the best.
	Rank int
	// Warm is set if the object was sent to Worker recently.
	Warm bool
	// Moves is set if Worker becomes the place of the object, Homeward if it does so since the
	// object's rank is highest there.
	Moves    bool
	Homeward bool
	// RestsUntil is when the first of the workers that rest takes requests again. It is set
	// if Reason is Resting.
	RestsUntil time.Time

	// charged are the limits that the move is charged to.
	charged []*moveLimit
}

// Outcome is the result of an exchange with a worker.
type Outcome string

// Outcomes of an exchange.
const (
	Answered Outcome = "answered"
	// Errored means that the worker answered with a server error.
	Errored Outcome = "errored"
	// Shed means that the worker refused the request.
	Shed Outcome = "shed"
	// Failed means that no valid answer arrived in time.
	Failed Outcome = "failed"
	// WrongWorker means that another worker answered at the address.
	WrongWorker Outcome = "moved"
	// CallerDisconnected means that the exchange was cancelled.
	CallerDisconnected Outcome = "dropped"
	// Unreachable means that no connection could be established. The worker may
	// have restarted and be cold.
	Unreachable Outcome = "unreachable"
	// Broken means that the connection ended before the answer was complete.
	Broken Outcome = "broken"
	// Withdrawn means that nothing was sent, as the worker was ruled out before.
	Withdrawn Outcome = "withdrawn"
	// ClosedIdle means that the worker closed an idle connection early.
	ClosedIdle Outcome = "hungUp"
)

// Report describes a finished exchange with a worker.
type Report struct {
	Outcome Outcome
	// Running and Waiting are the load that the worker reported. They are valid if
	// HasLoad is set.
	HasLoad bool
	Running int
	Waiting int
	// Pace is the time that work takes on the worker's machine, relative to the usual time,
	// or zero if the worker does not report it.
	Pace float64
	// Took is the time of the exchange. Load and Warm are those of the Choice.
	Took time.Duration
	Load float64
	Warm bool
	// Opened is the time at which the connection was established.
	Opened time.Time
	// Large and Route are those of the Request.
	Large bool
	Route string
	// Rest is the pause that the worker asked for, or zero.
	Rest time.Duration
}
