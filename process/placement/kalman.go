package placement

import "math"

// kalman estimates the coefficients of a linear model from noisy observations.
// Each coefficient may drift, so old observations are forgotten, and each has a
// variance that says how little is known of it.
type kalman struct {
	mean []float64
	// covariance is a square matrix by rows.
	covariance [][]float64
	// prior bounds the variance of each coefficient.
	prior []float64
	// noise is the running variance of the observations around the model.
	noise float64
}

const (
	initialNoise   = 0.1
	noiseSmoothing = 0.02
	minNoise       = 0.005
	outlierLimit   = 4.0
	driftPerDay    = 2.0
	secondsPerDay  = 86400.0
)

// grow adds a coefficient with a prior mean and variance.
func (k *kalman) grow(mean, variance float64) {
	n := len(k.mean)
	k.mean = append(k.mean, mean)
	k.prior = append(k.prior, variance)
	for i := range k.covariance {
		k.covariance[i] = append(k.covariance[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = variance
	k.covariance = append(k.covariance, row)
	if k.noise == 0 {
		k.noise = initialNoise
	}
}

// drift lets time pass: what was learnt becomes less certain.
func (k *kalman) drift(seconds float64) {
	for i := range k.covariance {
		added := k.prior[i] * driftPerDay * seconds / secondsPerDay
		k.covariance[i][i] = min(k.covariance[i][i]+added, k.prior[i])
	}
}

func (k *kalman) predict(x []float64) float64 {
	sum := 0.0
	for i, v := range x {
		sum += k.mean[i] * v
	}
	return sum
}

// observe takes one observation y at x with a weight; 1 is an ordinary one.
func (k *kalman) observe(x []float64, y, weight float64) {
	gain := make([]float64, len(x))
	spread := k.noise / weight
	for i := range x {
		for j, v := range x {
			gain[i] += k.covariance[i][j] * v
		}
		spread += x[i] * gain[i]
	}
	residual := y - k.predict(x)
	limit := outlierLimit * math.Sqrt(spread)
	residual = max(-limit, min(limit, residual))
	k.noise = max(minNoise, k.noise*(1-noiseSmoothing)+noiseSmoothing*residual*residual*weight)
	for i := range gain {
		k.mean[i] += gain[i] / spread * residual
	}
	for i := range gain {
		for j := range gain {
			k.covariance[i][j] -= gain[i] * gain[j] / spread
		}
	}
}

func (k *kalman) deviation(i int) float64 {
	return math.Sqrt(max(k.covariance[i][i], 0))
}
