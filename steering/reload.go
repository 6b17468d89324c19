package steering

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// live holds the settings in force.
type live struct {
	current atomic.Pointer[Settings]
}

// settingsInterval is how often the settings are looked at without a signal.
const settingsInterval = 2 * time.Second

func newLive(settings Settings) *live {
	l := &live{}
	l.current.Store(&settings)
	return l
}

func (l *live) get() Settings {
	return *l.current.Load()
}

// watchSettings takes in changed settings, on a hang-up signal and now and then. Nothing
// that they change touches a running request.
func (p parts) watchSettings(ctx context.Context, hangups chan os.Signal) {
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			p.Log.Info("settings are looked at on a hang-up signal")
		case <-ticker.C:
		}
		p.reload()
	}
}

// reload puts changed settings in force. Those that cannot be read change
// nothing.
func (p parts) reload() {
	changed, err := p.Adapter.Reload()
	if err != nil {
		p.Log.Error("the settings cannot be read and are not taken", "error", err.Error())
		return
	}
	settings, ok := changed.Get()
	if !ok {
		return
	}
	settings = inForce(p.Live.get(), settings, p.Log)
	p.Live.current.Store(&settings)
	p.apply(settings)
	p.Log.Info("settings in force", "bounds", settings.Bounds, "seeds", settings.Seeds, "memory_mb", settings.MemoryMB)
}

// apply hands the settings to the parts that keep some.
func (p parts) apply(settings Settings) {
	limitMemory(settings)
	p.Members.SetAuthorityTerm(settings.Bounds.Authority)
	p.Table.SetColdLimits(settings.Bounds.ColdOverage, settings.Bounds.ColdSlack)
	p.Table.SetMaxShift(settings.Bounds.MaxShift)
}

// inForce returns new settings as far as they may change while the process runs:
// its place, its addresses and its name stay until the next start.
func inForce(old, settings Settings, log hclog.Logger) Settings {
	out := old
	out.Bounds = settings.Bounds
	out.Seeds = settings.Seeds
	out.MemoryMB = settings.MemoryMB
	if !reflect.DeepEqual(out, settings) {
		log.Warn("some settings take effect at the next start")
	}
	return out
}

func limitMemory(settings Settings) {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB) * mebibyte * memoryPercent / 100)
	}
}
