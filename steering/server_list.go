package steering

import (
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
)

// listUpdate is what one change of the servers table means for the balancer.
type listUpdate struct {
	changed []placement.Server
	removed []string
	invalid []InvalidRow
}

// ReloadServers applies the present rows of the servers replica with the given keys. What
// it costs depends on their number, not on that of all servers. A server whose entry
// expired during an outage of the platform stays in use until the grace period after the
// outage is over.
func (s *ControlState) ReloadServers(keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectOutage()
	now := s.config.BootClock.Now()
	update := &listUpdate{}
	for _, key := range keys {
		s.reloadServer(now, key, update)
	}
	s.applyUpdate(update)
}

// reloadServer adds what the present row with a key means to an update. The caller must
// hold the lock.
func (s *ControlState) reloadServer(now clock.Millis, key string, update *listUpdate) {
	row := s.Servers.Row(key)
	if row == nil {
		delete(s.invalidServers, key)
		s.dropServer(now, key, update)
		return
	}
	server, problem := s.config.Decoder.Server(row)
	if problem != "" {
		update.invalid = append(update.invalid, InvalidRow{Key: key, Problem: problem})
		s.dropServer(now, key, update)
		return
	}
	delete(s.invalidServers, key)
	delete(s.retainedUntil, server.ID)
	old, ok := s.inUse[server.ID]
	s.inUse[server.ID] = server
	update.changed = append(update.changed, server)
	if !ok || old.Draining != server.Draining || old.StartUnixMs != server.StartUnixMs {
		s.logServer(server, len(update.changed))
	}
}

// dropServer removes a server that is not listed, or retains it if an outage has just
// ended; draining ones are not retained. The caller must hold the lock.
func (s *ControlState) dropServer(now clock.Millis, id string, update *listUpdate) {
	server, ok := s.inUse[id]
	if !ok {
		return
	}
	until := s.outage.graceUntil
	if now >= until || server.Draining {
		delete(s.inUse, id)
		delete(s.retainedUntil, id)
		update.removed = append(update.removed, id)
		return
	}
	if _, retained := s.retainedUntil[id]; !retained {
		s.retainedUntil[id] = until
		time.AfterFunc((until - now).Duration(), s.dropExpired)
	}
}

// dropExpired removes the retained servers whose time is over.
func (s *ControlState) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.BootClock.Now()
	update := &listUpdate{}
	for id, until := range s.retainedUntil {
		if now >= until {
			delete(s.inUse, id)
			delete(s.retainedUntil, id)
			update.removed = append(update.removed, id)
		}
	}
	s.applyUpdate(update)
}

// applyUpdate logs an update and passes it to the balancer. The caller must hold the lock.
func (s *ControlState) applyUpdate(update *listUpdate) {
	s.logNewInvalid(s.invalidServers, update.invalid)
	if len(update.changed)+len(update.removed) > maxLoggedServers {
		s.config.Log.Info("many backend servers changed", "listed", len(s.inUse), "changed", len(update.changed), "left", len(update.removed))
	}
	for i, id := range update.removed {
		if i < maxLoggedServers {
			s.config.Log.Info("backend server removed", "server", id)
		}
	}
	s.config.Balancer.UpdateServers(s.config.Clock.Now(), update.changed, update.removed)
	s.notifyServersChange()
}

// notifyServersChange calls the function set with OnServersChange, if any.
func (s *ControlState) notifyServersChange() {
	if call := s.onServersChange.Load(); call != nil {
		(*call)()
	}
}

// logServer logs a server that is new or has changed, unless it is beyond the first
// maxLoggedServers of an update.
func (s *ControlState) logServer(server placement.Server, position int) {
	if position > maxLoggedServers {
		return
	}
	s.config.Log.Info("backend server added or changed", "server", server.ID, "service", server.Service, "domain", server.FailureDomain,
		"address", server.Address, "draining", server.Draining, "cold_ms", int64(server.ColdFor))
}

// InUse reports whether a backend server is listed or retained.
func (s *ControlState) InUse(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.inUse[id]
	return ok
}
