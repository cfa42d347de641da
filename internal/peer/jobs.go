package peer

import "garnethitch/internal/wire"

// JobRequest asks a job's owner for its status, or to cancel it.
type JobRequest struct {
	ID     string `msgpack:"i"`
	Cancel bool   `msgpack:"c,omitempty"`
}

// JobResponse answers a JobRequest.
type JobResponse struct {
	Status  int           `msgpack:"s"` // the HTTP status for the user; 503: the owner doesn't know
	State   wire.JobState `msgpack:"t"`
	Done    int           `msgpack:"d,omitempty"` // tasks
	Running int           `msgpack:"r,omitempty"` // tasks
}

// JobRecordHint tells the owner of a job that the sender has accepted, ahead of its watch.
type JobRecordHint struct {
	ID          string `msgpack:"i"`
	ModRevision uint64 `msgpack:"m"`
	Record      []byte `msgpack:"r"` // the record as stored
}
