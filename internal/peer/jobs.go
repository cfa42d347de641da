package peer

import "garnethitch/internal/wire"

// JobRequest asks a job's owner for the job's status or, with Cancel, to cancel it.
type JobRequest struct {
	ID     string `msgpack:"i"`
	Cancel bool   `msgpack:"c,omitempty"`
}

// JobResponse answers a JobRequest.
type JobResponse struct {
	Status  int           `msgpack:"s"` // HTTP status for the user; 503: the owner cannot answer
	State   wire.JobState `msgpack:"t"`
	Done    int           `msgpack:"d,omitempty"` // number of tasks
	Running int           `msgpack:"r,omitempty"` // number of tasks
}

// JobRecordHint sends the record of a job that the sender has accepted to the job's owner, so
// that the owner need not wait for its watch of the state service.
type JobRecordHint struct {
	ID          string `msgpack:"i"`
	ModRevision uint64 `msgpack:"m"`
	Record      []byte `msgpack:"r"` // the record as stored in the state service
}
