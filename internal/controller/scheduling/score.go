package scheduling

// ImageState says how far a machine has a task's image.
type ImageState int

// The states of an image on a machine.
const (
	ImageMissing  ImageState = iota
	ImageFetching            // another task there fetches it or will
	ImageCached
)

// String returns the state in words.
func (s ImageState) String() string {
	switch s {
	case ImageMissing:
		return "missing"
	case ImageFetching:
		return "fetching"
	case ImageCached:
		return "cached"
	}
	return "unknown"
}

// Candidate is a machine by what its score for a task depends on.
type Candidate struct {
	Image ImageState
	// FailedThisJob is whether a task of the same job has failed there, FailedAnyJob whether
	// one of any job has.
	FailedThisJob, FailedAnyJob bool
	// Slowness is how much slower than others the machine runs tasks, from 0 on.
	Slowness float64
	// CPUs are all CPUs of the machine, FreeCPUs those that the task would leave unused.
	CPUs, FreeCPUs float64
}

// The parts of a score. How full the machine would be adds up to 1, so that it decides between
// machines that are alike otherwise.
const (
	imageCachedScore     = 4
	imageFetchingScore   = 2
	failedThisJobPenalty = 6
	failedAnyJobPenalty  = 4
	slownessPenalty      = 6
)

// Score returns how well the machine suits the task, the better the higher.
func (c Candidate) Score() float64 {
	score := 0.0
	switch c.Image {
	case ImageCached:
		score += imageCachedScore
	case ImageFetching:
		score += imageFetchingScore
	}
	if c.FailedThisJob {
		score -= failedThisJobPenalty
	}
	if c.FailedAnyJob {
		score -= failedAnyJobPenalty
	}
	score -= slownessPenalty * c.Slowness
	if c.CPUs > 0 {
		score += 1 - c.FreeCPUs/c.CPUs
	}
	return score
}
