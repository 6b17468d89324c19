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

// liveSettings holds the settings in force.
type liveSettings struct {
	current atomic.Pointer[Settings]
}

// settingsPollInterval is how often the settings are looked at without a signal.
const settingsPollInterval = 2 * time.Second

func newLiveSettings(settings Settings) *liveSettings {
	l := &liveSettings{}
	l.current.Store(&settings)
	return l
}

func (l *liveSettings) get() Settings {
	return *l.current.Load()
}

// watchSettings takes in changed settings, on a hang-up signal and now and then. Nothing
// that they change touches a running request.
func (p process) watchSettings(ctx context.Context, hangups chan os.Signal) {
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
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
func (p process) reload() {
	changed, err := p.Adapter.Reload()
	if err != nil {
		p.Log.Error("the settings cannot be read and are not taken", "error", err.Error())
		return
	}
	settings, ok := changed.Get()
	if !ok {
		return
	}
	settings = mergeReloadable(p.LiveSettings.get(), settings, p.Log)
	p.LiveSettings.current.Store(&settings)
	p.apply(settings)
	p.Log.Info("settings in force", "bounds", settings.Bounds, "seeds", settings.Seeds, "memory_mb", settings.MemoryMB)
}

// apply hands the settings to the parts that keep some.
func (p process) apply(settings Settings) {
	setMemoryLimit(settings)
	p.Members.SetAuthorityTerm(settings.Bounds.Authority)
	p.Table.SetColdLimits(settings.Bounds.ColdOverage, settings.Bounds.ColdSlack)
	p.Table.SetMaxShift(settings.Bounds.MaxShift)
}

// mergeReloadable returns new settings as far as they may change while the process runs:
// its place, its addresses and its name stay until the next start.
func mergeReloadable(old, settings Settings, log hclog.Logger) Settings {
	out := old
	out.Bounds = settings.Bounds
	out.Seeds = settings.Seeds
	out.MemoryMB = settings.MemoryMB
	if !reflect.DeepEqual(out, settings) {
		log.Warn("some settings take effect at the next start")
	}
	return out
}

func setMemoryLimit(settings Settings) {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB) * mebibyte * memoryLimitPercent / 100)
	}
}
