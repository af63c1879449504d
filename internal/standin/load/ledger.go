package load

import (
	"fmt"

	"jasminegate/internal/standin/target"
)

// CheckLedgers compares the outcomes of a report with the ledgers of the targets.
// It returns one line for each discrepancy: a non-idempotent call that ran more
// than once, a call that was reported as not run but ran, and an answered call
// that no target ran. The last is checked only if complete is true, which says that
// no ledger is missing. The ledger of a killed target is lost.
func CheckLedgers(report *Report, ledgers []target.Ledger, complete bool) []string {
	runs := make(map[string]int)
	for _, ledger := range ledgers {
		for _, entry := range ledger.Tests {
			runs[entry.ID] += entry.Count
		}
	}
	var discrepancies []string
	for id, callResult := range report.Calls {
		count := runs[id]
		switch {
		case callResult.Call.NonIdempotent && count > 1:
			discrepancies = append(discrepancies, fmt.Sprintf("%s ran %d times", id, count))
		case callResult.Outcome == NotRun && count > 0:
			discrepancies = append(discrepancies, fmt.Sprintf("%s was reported as not run but ran %d times", id, count))
		case callResult.Outcome == Answered && count == 0 && complete:
			discrepancies = append(discrepancies, fmt.Sprintf("%s was answered but no target ran it", id))
		}
	}
	return discrepancies
}
