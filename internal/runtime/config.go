package runtime

import (
	"garnethitch/internal/config"
	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
)

const bytesPerKiB = 1024

// silentReturnDerived as controller.Config's SilentReturn leaves the value to the controller.
const silentReturnDerived micros.Micros = -1

// ControllerConfig returns what the controller needs of the settings and options.
func ControllerConfig(settings config.Settings, opt config.Options) controller.Config {
	cluster := settings.Cluster
	sizes := SizesOf(settings)
	state := cluster.State.Strictest()
	cfg := controller.Config{
		Label:             settings.Label,
		Shards:            cluster.Nodes,
		Lease:             micros.Micros(opt.LeaseMS) * micros.Millisecond,
		HeartbeatInterval: micros.FromSeconds(cluster.Workers.ReportS),
		WorkerLease:       micros.FromSeconds(cluster.Workers.LeaseS),
		Cancel:            micros.FromSeconds(cluster.Workers.CancelS),
		StateRPS:          state.RPS,
		WriteRPS:          state.WriteRPS,
		ValueBytes:        int(state.ValueKB * bytesPerKiB),
		TxnOps:            state.TxnOps,
		MaxStateRequests:  plannedCalls(sizes.StateCalls),
		MaxPeerQuestions:  plannedCalls(sizes.PeerCalls),
		MaxWorkerRequests: sizes.WorkerCalls,
		MaxOpenJobs:       sizes.OpenJobs,
		MaxFinalJobs:      sizes.FinalJobs,
		MaxRegistrations:  sizes.ServedConns,
		CloudRPS:          cluster.Cloud.RPS,
		ListLag:           micros.FromSeconds(cluster.Cloud.ListLagS),
		SilentReturn:      silentReturn(opt),
		DrainHorizon:      micros.FromSeconds(opt.DrainHorizonS),
		BeginWithin:       micros.FromSeconds(opt.BeginS),
		IdleReturn:        micros.FromSeconds(opt.IdleReturnS),
		CordonFor:         micros.FromSeconds(opt.QuarantineS),
		MaxMachines:       opt.MaxMachines,
		Quota:             opt.Groups,
		Trace:             opt.Trace.Enabled(),
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

// plannedCalls is how many of the calls that a target may have under way the controller
// plans with: the others are for what can't wait, such as renewing a lease.
func plannedCalls(limit int) int { return limit * 3 / 4 }

// Kinds of service-level objectives that the controller works for.
const (
	objectiveGuarantee = "guarantee" // time to start of work within a team's guarantee
	objectiveStart     = "wait"      // time to start of a class of jobs
	objectiveFinish    = "finished"  // time to the end of a class of jobs
)

// setObjectives sets the service-level objectives of cfg. Of several for the same thing the
// shortest time holds; one without a time or, where it is of a class, without a class is
// passed over.
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

// setShortest sets the time of a class unless a shorter one is set already.
func setShortest(byClass map[string]micros.Micros, class string, within micros.Micros) {
	if class == "" {
		return
	}
	if shortest, ok := byClass[class]; !ok || within < shortest {
		byClass[class] = within
	}
}

// silentReturn is the operators' choice of when silent machines are returned, or
// silentReturnDerived.
func silentReturn(opt config.Options) micros.Micros {
	if opt.SilentReturnS == nil {
		return silentReturnDerived
	}
	return micros.FromSeconds(*opt.SilentReturnS)
}
