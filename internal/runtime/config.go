package runtime

import (
	"garnethitch/internal/config"
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

const bytesPerKiB = 1024

// silentReturnDerived is the value of controller.Config.SilentReturn with which the controller
// derives the time itself.
const silentReturnDerived micros.Micros = -1

// ControllerConfig returns the controller's configuration for the settings and options.
func ControllerConfig(settings config.Settings, opt config.Options) controller.Config {
	cluster := settings.Cluster
	sizes := SizesOf(settings)
	state := cluster.State.Strictest()
	cfg := controller.Config{
		Label:                settings.Label,
		Shards:               cluster.Nodes,
		Lease:                micros.Micros(opt.LeaseMS) * micros.Millisecond,
		HeartbeatInterval:    micros.FromSeconds(cluster.Workers.ReportS),
		WorkerLease:          micros.FromSeconds(cluster.Workers.LeaseS),
		CancelWithin:         micros.FromSeconds(cluster.Workers.CancelS),
		StateRPS:             state.RPS,
		WriteRPS:             state.WriteRPS,
		ValueBytes:           int(state.ValueKB * bytesPerKiB),
		TxnOps:               state.TxnOps,
		MaxStateRequests:     plannedCalls(sizes.StateCalls),
		MaxForwardedRequests: plannedCalls(sizes.PeerCalls),
		MaxWorkerRequests:    sizes.WorkerCalls,
		MaxOpenJobs:          sizes.OpenJobs,
		MaxFinalJobs:         sizes.FinalJobs,
		MaxRegistrations:     sizes.ServedConns,
		CloudRPS:             cluster.Cloud.RPS,
		ListLag:              micros.FromSeconds(cluster.Cloud.ListLagS),
		SilentReturn:         silentReturn(opt),
		DrainHorizon:         micros.FromSeconds(opt.DrainHorizonS),
		BeginWithin:          micros.FromSeconds(opt.BeginS),
		IdleReturn:           micros.FromSeconds(opt.IdleReturnS),
		CordonPeriod:         micros.FromSeconds(opt.QuarantineS),
		MaxMachines:          opt.MaxMachines,
		Quota:                opt.Groups,
		Trace:                opt.Trace.Enabled(),
	}
	for _, seed := range settings.Seeds {
		cfg.Peers = append(cfg.Peers, seed.Label)
	}
	for _, team := range cluster.Teams {
		cfg.Teams = append(cfg.Teams, controller.Team(team))
	}
	setObjectives(&cfg, cluster.Objectives)
	return cfg
}

// plannedCalls returns the part of a target's limit of calls in flight that the controller may use
// for ordinary requests. The rest is reserved for requests that cannot wait, such as the renewal
// of a lease.
func plannedCalls(limit int) int { return limit * 3 / 4 }

// Kinds of service-level objectives that the controller supports.
const (
	objectiveGuarantee = "guarantee" // time until work within a team's guarantee starts
	objectiveStart     = "wait"      // time until a job of a class starts
	objectiveFinish    = "finished"  // time until a job of a class is finished
)

// setObjectives sets the service-level objectives of cfg. Of several objectives for the same
// thing, the one with the shortest time applies. Objectives without a time are ignored, and so
// are objectives of a class of jobs that do not name the class.
func setObjectives(cfg *controller.Config, objectives []config.Objective) {
	cfg.StartWithin = map[string]micros.Micros{}
	cfg.FinishWithin = map[string]micros.Micros{}
	for _, objective := range objectives {
		if objective.WithinS <= 0 {
			continue
		}
		within := micros.FromSeconds(objective.WithinS)
		switch objective.Kind {
		case objectiveGuarantee:
			if cfg.GuaranteeWithin == 0 || within < cfg.GuaranteeWithin {
				cfg.GuaranteeWithin = within
			}
		case objectiveStart:
			setShortest(cfg.StartWithin, objective.Class, within)
		case objectiveFinish:
			setShortest(cfg.FinishWithin, objective.Class, within)
		}
	}
}

// setShortest sets the time of a class unless a shorter one is already set.
func setShortest(byClass map[string]micros.Micros, class string, within micros.Micros) {
	if class == "" {
		return
	}
	if shortest, ok := byClass[class]; !ok || within < shortest {
		byClass[class] = within
	}
}

// silentReturn returns the time after which silent machines are returned to the cloud, or
// silentReturnDerived if the options do not set it.
func silentReturn(opt config.Options) micros.Micros {
	if opt.SilentReturnS == nil {
		return silentReturnDerived
	}
	return micros.FromSeconds(*opt.SilentReturnS)
}
