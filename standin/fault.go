package main

import (
	"time"

	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

// handleFault applies a FaultRequest. Faults of the platform are applied even if the
// backend server in the request does not exist.
func (sim *simulator) handleFault(ctx *fasthttp.RequestCtx) {
	f := &wire.FaultRequest{}
	if err := protojson.Unmarshal(ctx.PostBody(), f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	sim.applyPlatformFault(f)
	if f.GetServer() == "" {
		return
	}
	s, ok := sim.servers[f.GetServer()]
	if !ok {
		ctx.Error("no such server", fasthttp.StatusNotFound)
		return
	}
	s.applyFault(f)
}

func (sim *simulator) applyPlatformFault(f *wire.FaultRequest) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if f.StoreDown != nil {
		sim.storeDown = f.GetStoreDown()
	}
	if f.StoreDelayMs != nil {
		sim.storeDelay = time.Duration(f.GetStoreDelayMs()) * time.Millisecond
	}
	if f.LoseAnswers != nil {
		sim.responsesToDrop = int(f.GetLoseAnswers())
	}
	if f.ListLagMs != nil {
		sim.listLag = time.Duration(f.GetListLagMs()) * time.Millisecond
	}
	if f.GetClearCuts() {
		sim.partitioned = values.NewSet[string]()
	}
	sim.partitioned = sim.partitioned.With(f.GetCutInstances()...)
}

func (s *backendServer) applyFault(f *wire.FaultRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Draining != nil {
		s.setDraining(f.GetDraining())
	}
	if f.Leaving != nil {
		s.leaving = f.GetLeaving()
		s.setDraining(f.GetLeaving())
	}
	if f.SlowFactor != nil {
		s.slowFactor = f.GetSlowFactor()
	}
	if f.ReportIdle != nil {
		s.reportIdle = f.GetReportIdle()
	}
	if f.CutAnswers != nil {
		s.responsesToTruncate = int(f.GetCutAnswers())
	}
	if f.CrossAnswers != nil {
		s.responsesToMismatch = int(f.GetCrossAnswers())
	}
	if f.GetSilence() {
		s.generation++
	}
	if f.Down != nil {
		s.setDown(f.GetDown())
	}
}
