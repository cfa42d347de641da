package wire

import (
	"net/url"
	"strconv"
	"strings"
)

// ContentType is the media type of every body in this package.
const ContentType = "application/cbor"

// Paths that a controller serves (protocol: "Users -> controller nodes" and "Workers ->
// controller nodes").
const (
	PathHeartbeat   = "/checkin"
	PathReadiness   = "/ready"
	PathSubmissions = "/submissions"
)

// Paths that a worker serves (protocol: "Controller nodes -> workers").
const (
	PathDirectCommand = "/orders"
	PathShowHeartbeat = "/show"
)

// Paths that the cloud serves (protocol: "Controller nodes -> cloud").
const (
	PathMachineTypes   = "/flavors"
	PathMachines       = "/rentals"
	PathReturnMachines = "/rentals/return"
)

// Paths that the state service serves (protocol: "Controller nodes -> state service").
const (
	PathKeys   = "/keys"
	PathTxn    = "/multi"
	PathLeases = "/grants"
	PathWatch  = "/watch"
)

const (
	cancelSuffix = "/withdraw" // of a job's path
	renewSuffix  = "/extend"   // of a lease's path
)

// Names of query parameters.
const (
	queryPrefix = "starts"
	queryAfter  = "since" // in a listing: the key or name after which the page begins
	querySince  = "since" // in a watch: the revision after which changes are returned
	queryLimit  = "most"
	queryWaitMS = "blockMs"
)

// JobAction is an action that a user requests for one job.
type JobAction int

// The actions that a path below PathSubmissions can name.
const (
	NoJobAction JobAction = iota // the path names no job
	JobStatus
	CancelJob
)

// ParseJobPath returns the job and the action that a path below PathSubmissions names. It does
// not validate the form of the id.
func ParseJobPath(path string) (id string, action JobAction) {
	id, ok := strings.CutPrefix(path, PathSubmissions+"/")
	if !ok {
		return "", NoJobAction
	}
	if cancelID, ok := strings.CutSuffix(id, cancelSuffix); ok && !strings.Contains(cancelID, "/") {
		return cancelID, CancelJob
	}
	if id == "" || strings.Contains(id, "/") {
		return "", NoJobAction
	}
	return id, JobStatus
}

// JobStatusPath returns the path at which users ask for the status of a job.
func JobStatusPath(id string) string { return PathSubmissions + "/" + id }

// CancelJobPath returns the path at which users cancel a job.
func CancelJobPath(id string) string { return JobStatusPath(id) + cancelSuffix }

// RenewLeasePath returns the path that renews a lease.
func RenewLeasePath(lease uint64) string {
	return PathLeases + "/" + strconv.FormatUint(lease, 10) + renewSuffix
}

// KeyPath returns the path of a key. The key's slashes are not escaped.
func KeyPath(key string) string { return PathKeys + "/" + key }

// ListKeysTarget returns the path and query for a page of at most limit keys with a prefix. The
// page begins after the key after, or with the first key if after is empty.
func ListKeysTarget(prefix, after string, limit int) string {
	target := PathKeys + "?" + queryPrefix + "=" + url.QueryEscape(prefix) +
		"&" + queryLimit + "=" + strconv.Itoa(limit)
	return appendAfter(target, after)
}

// WatchTarget returns the path and query for a watch on the keys with a prefix. The watch
// returns the changes after a revision, and waits for at most waitMS milliseconds if there are
// none.
func WatchTarget(prefix string, since uint64, waitMS int64) string {
	return PathWatch + "?" + queryPrefix + "=" + url.QueryEscape(prefix) +
		"&" + querySince + "=" + strconv.FormatUint(since, 10) +
		"&" + queryWaitMS + "=" + strconv.FormatInt(waitMS, 10)
}

// ListMachinesTarget returns the path and query for a page of at most limit machines. The page
// begins after the machine after, or with the first machine if after is empty.
func ListMachinesTarget(after string, limit int) string {
	return appendAfter(PathMachines+"?"+queryLimit+"="+strconv.Itoa(limit), after)
}

func appendAfter(target, after string) string {
	if after == "" {
		return target
	}
	return target + "&" + queryAfter + "=" + url.QueryEscape(after)
}
