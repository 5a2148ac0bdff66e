package prover

// Promise is one of the design's promises, with the tests on real processes that
// check it. Without such a test, Reason is set.
type Promise struct {
	Name  string
	Title string
	Tests []string
	// Reason says why no test on real processes checks the promise.
	Reason string
}

// Promises returns P1 to P8.
func Promises() []Promise {
	return []Promise{
		{"P1", "no worker is given more than it has", []string{"TestThreeKindsOfJobs"}, ""},
		{"P2", "no task runs in two places at once", []string{"TestTasksSurviveFaults"}, ""},
		{"P3", "every caller gets its own whole answer", []string{"TestRollingRestartUnderLoad", "TestOnceUnderFaults"}, ""},
		{"P4", "not-run means that it was not run", []string{"TestOnceUnderFaults"}, ""},
		{"P5", "a request not to be repeated runs at most once", []string{"TestOnceUnderFaults"}, ""},
		{"P6", "a leaving upstream receives no new work", []string{"TestLeavingWorkerGetsNothing"}, ""},
		{"P7", "a graceful shutdown interrupts no request", []string{"TestRollingRestartUnderLoad"}, ""},
		{"P8", "an accepted configuration is in force and never reverts", []string{"TestTicketRaceAndResend", "TestSleepersDontRevert", "TestCutOffEntryRefuses"}, ""},
	}
}
