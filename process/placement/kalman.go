package placement

import "math"

// kalman is a Kalman filter that estimates the coefficients of a linear model from noisy
// observations. The coefficients drift with time, so that old observations lose weight.
type kalman struct {
	mean []float64
	// covariance is the covariance matrix of the coefficients, by rows. A coefficient of
	// which little is known has a large variance.
	covariance [][]float64
	// prior is the prior variance of each coefficient, which drift does not exceed.
	prior []float64
	// noise is the moving average of the squared residuals.
	noise float64
}

const (
	initialNoise   = 0.1
	noiseSmoothing = 0.02
	minNoise       = 0.005
	// outlierLimit is the number of standard deviations to which a residual is clamped.
	outlierLimit = 4.0
	// driftPerDay is the variance that a coefficient gains per day, in prior variances.
	driftPerDay   = 2.0
	secondsPerDay = 86400.0
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

// drift increases the variance of the coefficients for the time that has passed.
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

// observe updates the estimate with an observation y at x. The weight, 1 for an
// ordinary observation, divides the noise.
func (k *kalman) observe(x []float64, y, weight float64) {
	gain := make([]float64, len(x))
	variance := k.noise / weight
	for i := range x {
		for j, v := range x {
			gain[i] += k.covariance[i][j] * v
		}
		variance += x[i] * gain[i]
	}
	residual := y - k.predict(x)
	limit := outlierLimit * math.Sqrt(variance)
	residual = max(-limit, min(limit, residual))
	k.noise = max(minNoise, k.noise*(1-noiseSmoothing)+noiseSmoothing*residual*residual*weight)
	for i := range gain {
		k.mean[i] += gain[i] / variance * residual
	}
	for i := range gain {
		for j := range gain {
			k.covariance[i][j] -= gain[i] * gain[j] / variance
		}
	}
}

func (k *kalman) deviation(i int) float64 {
	return math.Sqrt(max(k.covariance[i][i], 0))
}
