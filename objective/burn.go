package objective

import (
	"sort"

	"github.com/bulrushferry/bulrushferry/wire"
)

// Burn is the consumption of the error budget of one service and workspace over one
// window, summed over all instances.
type Burn struct {
	Service      string  `json:"service"`
	Workspace    string  `json:"workspace"`
	WindowMs     int64   `json:"window_ms"`
	Total        int64   `json:"total"`
	Bad          int64   `json:"bad"`
	Availability float64 `json:"objective"`
	// Rate is the burn rate: how many times faster than the objective allows the
	// error budget is consumed. If the budget is zero, it is the number of bad
	// requests.
	Rate float64 `json:"burn_rate"`
	// BudgetLeft is the fraction of the window's error budget that remains, from 0
	// to 1.
	BudgetLeft float64 `json:"budget_left"`
}

// Merge sums the counts reported by all instances and evaluates them against the
// objectives. Services without an objective are omitted. If a service has several
// objectives, the first one counts.
func Merge(reports []*wire.BurnReport, objectives []*wire.ObjectiveRule) []Burn {
	type rowKey struct {
		counter  CounterKey
		windowMs int64
	}
	sums := make(map[rowKey]*Burn)
	for _, report := range reports {
		for _, row := range report.GetRows() {
			k := rowKey{CounterKey{row.GetService(), row.GetWorkspace()}, row.GetWindowMs()}
			if sums[k] == nil {
				sums[k] = &Burn{Service: row.GetService(), Workspace: row.GetWorkspace(), WindowMs: row.GetWindowMs()}
			}
			sums[k].Total += row.GetTotal()
			sums[k].Bad += row.GetBad()
		}
	}
	var burns []Burn
	for _, burn := range sums {
		for _, objective := range objectives {
			if objective.GetService() == burn.Service {
				burns = append(burns, burn.WithObjective(objective.GetAvailability()))
				break
			}
		}
	}
	sortBurns(burns)
	return burns
}

// WithObjective returns the burn evaluated against an availability objective, a
// fraction from 0 to 1.
func (b Burn) WithObjective(availability float64) Burn {
	b.Availability = availability
	b.BudgetLeft = 1
	budget := (1 - availability) * float64(b.Total)
	if b.Bad == 0 {
		return b
	}
	if budget <= 0 {
		b.Rate = float64(b.Bad)
		b.BudgetLeft = 0
		return b
	}
	b.Rate = float64(b.Bad) / budget
	b.BudgetLeft = max(0, 1-b.Rate)
	return b
}

func sortBurns(burns []Burn) {
	sort.Slice(burns, func(i, j int) bool {
		a, b := burns[i], burns[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		if a.Workspace != b.Workspace {
			return a.Workspace < b.Workspace
		}
		return a.WindowMs < b.WindowMs
	})
}
