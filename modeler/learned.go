package modeler

// Learned is what the leader has learned about workers and queues, or a part of it.
type Learned struct {
	Workers []LearnedWorker `cbor:"1,keyasint,omitempty"`
	Queues  []LearnedQueue  `cbor:"2,keyasint,omitempty"`
}

// LearnedWorker is what is known of the speed of one generation of a worker.
type LearnedWorker struct {
	_          struct{} `cbor:",toarray"`
	Worker     WorkerID
	Generation Generation
	// Count is the number of tasks that it rests on.
	Count int
	// Slowness is the mean of log(run time / expected run time), and Variance that of
	// the mean.
	Slowness float32
	Variance float32
}

// LearnedQueue is what is known of the run times of a queue's tasks. All of it is about
// natural logarithms of seconds.
type LearnedQueue struct {
	_     struct{} `cbor:",toarray"`
	Queue QueueID
	// Count is the number of tasks that it rests on, and Weight the weight of the means.
	Count  int
	Weight float64
	// Estimate and Runtime are the means of callers' estimates and of run times.
	Estimate float64
	Runtime  float64
	// Variance is that of the estimates, and Covariance that of estimates and run times.
	Variance   float64
	Covariance float64
	// Squares is the mean square of the prediction's error.
	Squares float64
	// Noise is the variance of equal tasks, and Step that of what the tasks of one step
	// have in common.
	Noise LearnedMean
	Step  LearnedMean
}

// LearnedMean is a mean with the weight of what it rests on.
type LearnedMean struct {
	_      struct{} `cbor:",toarray"`
	Mean   float64
	Weight float64
}
