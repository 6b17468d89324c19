package main

import (
	"time"

	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

// handleFault switches faults on or off.
func (w *world) handleFault(ctx *fasthttp.RequestCtx) {
	f := &wire.FaultRequest{}
	if err := protojson.Unmarshal(ctx.PostBody(), f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	w.applyPlatform(f)
	if f.GetServer() == "" {
		return
	}
	s, ok := w.servers[f.GetServer()]
	if !ok {
		ctx.Error("no such server", fasthttp.StatusNotFound)
		return
	}
	s.applyFault(f)
}

func (w *world) applyPlatform(f *wire.FaultRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.StoreDown != nil {
		w.storeDown = f.GetStoreDown()
	}
	if f.StoreDelayMs != nil {
		w.storeDelay = time.Duration(f.GetStoreDelayMs()) * time.Millisecond
	}
	if f.LoseAnswers != nil {
		w.loseAnswers = int(f.GetLoseAnswers())
	}
	if f.ListLagMs != nil {
		w.listLag = time.Duration(f.GetListLagMs()) * time.Millisecond
	}
	if f.GetClearCuts() {
		w.cut = values.NewSet[string]()
	}
	w.cut = w.cut.With(f.GetCutInstances()...)
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
		s.cutAnswers = int(f.GetCutAnswers())
	}
	if f.CrossAnswers != nil {
		s.crossAnswers = int(f.GetCrossAnswers())
	}
	if f.GetSilence() {
		s.generation++
	}
	if f.Down != nil {
		s.setDown(f.GetDown())
	}
}
