package colocation

// Scenario is the name of the change or fault during a run.
type Scenario string

// Scenarios. Changes and faults begin after a third of the run and end after two thirds.
const (
	// ScenarioOrdinary has normal load and no faults.
	ScenarioOrdinary Scenario = "ordinary"
	// ScenarioPeak multiplies the request rates by peakFactor and puts peakPreset in force
	// during the peak.
	ScenarioPeak Scenario = "peak"
	// ScenarioNoisyWave multiplies the arrival rate of the site's NoisyWorkload by
	// waveFactor.
	ScenarioNoisyWave Scenario = "noisyWave"
	// ScenarioRackLost takes down all workers of one rack.
	ScenarioRackLost Scenario = "rackLost"
	// ScenarioSizeErrors has true sizes and run times that differ from the declared ones
	// by a factor of up to 10. In the other scenarios the factor is up to 2.
	ScenarioSizeErrors Scenario = "sizesOff"
	// ScenarioFailingWorker has one worker that fails every task that it starts.
	ScenarioFailingWorker Scenario = "badWorker"
)

// Scenarios returns all scenarios in the order of the report.
func Scenarios() []Scenario {
	return []Scenario{ScenarioOrdinary, ScenarioPeak, ScenarioNoisyWave, ScenarioRackLost, ScenarioSizeErrors, ScenarioFailingWorker}
}

const (
	defaultSizeError = 1.0
	largeSizeError   = 9.0
	// peakFactor multiplies the request rates in ScenarioPeak.
	peakFactor = 2.0
	// waveFactor multiplies the arrival rate of the noisy workload in ScenarioNoisyWave.
	waveFactor = 4.0
	// peakPreset is the preset in force during the peak of ScenarioPeak.
	peakPreset = "peak"
)

// sizeError returns the maximum relative error of declared sizes and run times.
func (s Scenario) sizeError() float64 {
	if s == ScenarioSizeErrors {
		return largeSizeError
	}
	return defaultSizeError
}
