package memory

import "github.com/rcrowley/go-metrics"

// Publish updates the gauges of what the account holds.
func (a *Account) Publish(registry metrics.Registry) {
	usage := a.Usage()
	for kind := range Kinds {
		metrics.GetOrRegisterGauge("memory."+kind.String(), registry).Update(usage.Held[kind])
		metrics.GetOrRegisterGauge("memory.refused."+kind.String(), registry).Update(usage.Refused[kind])
	}
	metrics.GetOrRegisterGauge("memory.limit", registry).Update(usage.Limits.Total)
}
