package day

import "gonum.org/v1/gonum/stat/distuv"

// studentT returns the two-sided 95% quantile of Student's t distribution.
func studentT(freedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(0.975)
}
