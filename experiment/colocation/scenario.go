package colocation

// Scenario names what happens during a run.
type Scenario string

// Scenarios. Faults begin after a third of the run and end after two thirds.
const (
	// ScenarioOrdinary is an ordinary day.
	ScenarioOrdinary Scenario = "ordinary"
	// ScenarioPeak has twice the requests; the operators switch to the preset
	// "peak" when it begins and back when it ends.
	ScenarioPeak Scenario = "peak"
	// ScenarioNoisyWave has a wave of the batch workload that disturbs most.
	ScenarioNoisyWave Scenario = "noisyWave"
	// ScenarioRackLost loses one rack.
	ScenarioRackLost Scenario = "rackLost"
	// ScenarioSizeErrors has declared sizes and run times that are off by up to ten
	// times. Elsewhere they are off by up to two times.
	ScenarioSizeErrors Scenario = "sizesOff"
	// ScenarioFailingWorker has a worker that fails everything it starts.
	ScenarioFailingWorker Scenario = "badWorker"
)

// Scenarios returns all scenarios in a fixed order.
func Scenarios() []Scenario {
	return []Scenario{ScenarioOrdinary, ScenarioPeak, ScenarioNoisyWave, ScenarioRackLost, ScenarioSizeErrors, ScenarioFailingWorker}
}

const (
	defaultSizeError = 1.0
	largeSizeError   = 9.0
	// peakFactor and waveFactor raise requests and the noisy workload.
	peakFactor = 2.0
	waveFactor = 4.0
	peakPreset = "peak"
)

func (s Scenario) sizeError() float64 {
	if s == ScenarioSizeErrors {
		return largeSizeError
	}
	return defaultSizeError
}
