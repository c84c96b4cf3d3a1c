package measure

import (
	"context"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/measure/policy"
)

// PolicyResult has one entry for each combination of trial, deployment and policy.
type PolicyResult struct {
	Trials []policy.Trial `json:"trials"`
}

// Policy measures the routing decisions under load and faults, in virtual time.
func Policy(_ context.Context, o Options) (PolicyResult, error) {
	var deployments []deployment.Deployment
	for _, name := range deployment.Names() {
		d, _ := deployment.Find(name)
		deployments = append(deployments, d)
	}
	o.progress("running all trials")
	return PolicyResult{policy.Run(policy.Options{Seed: o.Seed, Deployments: deployments})}, nil
}
