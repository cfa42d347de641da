package scheduling

// ImageState states whether a machine has the image of a task.
type ImageState int

// The states of an image on a machine.
const (
	ImageMissing  ImageState = iota
	ImageFetching            // another task on the machine is fetching the image, or will
	ImageCached
)

// String returns the name of the state.
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

// Candidate holds the properties of a machine that determine its score for a task.
type Candidate struct {
	Image ImageState
	// FailedThisJob is true if a task of the same job has failed on the machine. FailedAnyJob is
	// true if a task of any job has failed there.
	FailedThisJob, FailedAnyJob bool
	// Slowness is how much slower than other machines this one runs tasks; 0 is not slower.
	Slowness float64
	// CPUs is the machine's total number of CPUs. FreeCPUs is the number that would remain free
	// after the task is placed.
	CPUs, FreeCPUs float64
}

// The weights of the parts of a score. The fill level of the machine adds at most 1, so that it
// decides between machines that are otherwise alike, and does not outweigh an image or a failure.
const (
	imageCachedScore     = 4
	imageFetchingScore   = 2
	failedThisJobPenalty = 6
	failedAnyJobPenalty  = 4
	slownessPenalty      = 6
)

// Score returns how well the machine suits the task. Higher is better.
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
	score -= float64(slownessPenalty * c.Slowness)
	if c.CPUs > 0 {
		score += 1 - c.FreeCPUs/c.CPUs
	}
	return score
}
