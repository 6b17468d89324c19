package steering

import (
	"context"
	"os"
	"reflect"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/memory"
	"github.com/hashicorp/go-hclog"
)

// liveSettings holds the settings in force. It is safe for concurrent use.
type liveSettings struct {
	current atomic.Pointer[Settings]
}

// settingsPollInterval is how often the settings are checked for changes without a
// signal.
const settingsPollInterval = 2 * time.Second

func newLiveSettings(settings Settings) *liveSettings {
	l := &liveSettings{}
	l.current.Store(&settings)
	return l
}

func (l *liveSettings) get() Settings {
	return *l.current.Load()
}

// watchSettings reloads the settings on SIGHUP and periodically, until the context ends.
// A reload does not interrupt requests in progress.
func (p process) watchSettings(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			p.Log.Info("received SIGHUP, checking the settings for changes")
		case <-ticker.C:
		}
		p.reload()
	}
}

// reload applies the settings if they have changed. If they cannot be read, the present
// ones stay in force.
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
	p.Log.Info("settings reloaded", "bounds", settings.Bounds, "seeds", settings.Seeds, "memory_mb", settings.MemoryMB)
}

// apply passes the settings to the components that hold copies of them.
func (p process) apply(settings Settings) {
	setMemoryLimit(settings)
	p.Memory.SetLimits(memory.LimitsOf(settings.MemoryMB))
	p.Handler.SetGrace(settings.Bounds.StopTimeout)
	p.Members.SetAuthorityTerm(settings.Bounds.Authority)
	p.Balancer.SetColdLimits(settings.Bounds.ColdOverage, settings.Bounds.ColdSlack)
	p.Balancer.SetMaxShift(settings.Bounds.MaxShift)
}

// mergeReloadable returns the old settings with the bounds, seeds and limits of memory and
// descriptors of the new ones. All others, such as the instance's name, region and addresses,
// take effect at the next start only.
func mergeReloadable(old, settings Settings, log hclog.Logger) Settings {
	merged := old
	merged.Bounds = settings.Bounds
	merged.Seeds = settings.Seeds
	merged.MemoryMB = settings.MemoryMB
	merged.MaxFDs = settings.MaxFDs
	if !reflect.DeepEqual(merged, settings) {
		log.Warn("some changed settings take effect at the next start only")
	}
	return merged
}

// setMemoryLimit sets the garbage collector's soft memory limit to a fraction of the
// instance's memory limit.
func setMemoryLimit(settings Settings) {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(memory.CollectorLimit(settings.MemoryMB))
	}
}
