package objective

import (
	"sort"

	"github.com/bulrushferry/bulrushferry/wire"
)

// Burn is the state of one objective in one window, over all instances.
type Burn struct {
	Service      string  `json:"service"`
	Workspace    string  `json:"workspace"`
	WindowMs     int64   `json:"window_ms"`
	Total        int64   `json:"total"`
	Bad          int64   `json:"bad"`
	Availability float64 `json:"objective"`
	// Rate is how many times faster than allowed the error budget is used.
	Rate float64 `json:"burn_rate"`
	// BudgetLeft is the share of the window's error budget that is left.
	BudgetLeft float64 `json:"budget_left"`
}

// Merge adds up the rows of all instances and compares them with the
// objectives. Services without an objective are left out.
func Merge(reports []*wire.BurnReport, objectives []*wire.ObjectiveRule) []Burn {
	type rowKey struct {
		key    CounterKey
		window int64
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
	var out []Burn
	for _, burn := range sums {
		for _, objective := range objectives {
			if objective.GetService() == burn.Service {
				out = append(out, burn.WithObjective(objective.GetAvailability()))
				break
			}
		}
	}
	sortBurns(out)
	return out
}

// WithObjective returns the burn measured against an availability from 0 to 1.
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
