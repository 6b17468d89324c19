package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/bulrushferry/bulrushferry/load"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

// deployment is a running set of processes.
type deployment struct {
	folder   string
	binaries string
	names    []string
	entries  map[string]*wire.EntrySettings
	plan     *wire.Deployment
	rules    *wire.Rules
	keys     map[string]string
	procs    map[string]*exec.Cmd
	// listeners are those of simple balancers in this process.
	listeners []net.Listener
}

const (
	settleTime     = 30 * time.Second
	takeEffectTime = 6 * time.Second
	faultTimeout   = 5 * time.Second
)

// startDeployment starts all processes with rules and keys in force.
func startDeployment(folder, binaries string) (*deployment, error) {
	d := &deployment{
		folder: folder, binaries: binaries,
		entries: make(map[string]*wire.EntrySettings),
		keys:    make(map[string]string),
		procs:   make(map[string]*exec.Cmd),
	}
	if err := d.load(); err != nil {
		return nil, err
	}
	if err := d.launch(); err != nil {
		d.stop()
		return nil, err
	}
	if err := d.apply(); err != nil {
		d.stop()
		return nil, err
	}
	time.Sleep(takeEffectTime)
	return d, nil
}

func (d *deployment) load() error {
	raw, err := os.ReadFile(filepath.Join(d.folder, "deployment.json"))
	if err != nil {
		return err
	}
	d.plan = &wire.Deployment{}
	if err := protojson.Unmarshal(raw, d.plan); err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(d.folder, "rules.txt"))
	if err != nil {
		return err
	}
	parsed, faults := rules.Parse(text)
	if len(faults) > 0 {
		return faults
	}
	d.rules = parsed
	files, err := filepath.Glob(filepath.Join(d.folder, "entries", "*.json"))
	if err != nil {
		return err
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		s := &wire.EntrySettings{}
		if err := protojson.Unmarshal(raw, s); err != nil {
			return err
		}
		d.entries[s.GetInstance()] = s
		d.names = append(d.names, s.GetInstance())
	}
	sort.Strings(d.names)
	return nil
}

func (d *deployment) launch() error {
	certs, err := os.ReadFile(filepath.Join(d.folder, "certs.txt"))
	if err != nil {
		return err
	}
	args := append([]string{"certs", "--out", filepath.Join(d.folder, "certs")}, strings.Fields(string(certs))...)
	if out, err := exec.Command(filepath.Join(d.binaries, "standin"), args...).CombinedOutput(); err != nil {
		return fmt.Errorf("making certificates: %w: %s", err, out)
	}
	if err := d.start("standin", "standin", "serve", "--deployment", filepath.Join(d.folder, "deployment.json")); err != nil {
		return err
	}
	for _, name := range d.names {
		if err := d.startEntry(name); err != nil {
			return err
		}
	}
	return d.waitSettled()
}

func (d *deployment) startEntry(name string) error {
	return d.start(name, "bulrushferry", "entry", "--settings", filepath.Join(d.folder, "entries", name+".json"))
}

func (d *deployment) start(name, program string, args ...string) error {
	log, err := os.Create(filepath.Join(os.TempDir(), "bulrushferry-"+name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(d.binaries, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.procs[name] = cmd
	return cmd.Start()
}

// waitSettled waits until every instance holds slots.
func (d *deployment) waitSettled() error {
	deadline := time.Now().Add(settleTime)
	for time.Now().Before(deadline) {
		out, _ := d.command("status", "--json", "--timeout", "500ms")
		holders := 0
		for _, line := range strings.Split(out, "\n") {
			s := &wire.Status{}
			if protojson.Unmarshal([]byte(line), s) == nil && s.GetSlotsHeld() > 0 && s.GetAuthority() {
				holders++
			}
		}
		if holders == len(d.names) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the slots were not spread over %d instances within %s", len(d.names), settleTime)
}

func (d *deployment) apply() error {
	if _, err := d.command("rules", "apply", "--who", "bench", filepath.Join(d.folder, "rules.txt")); err != nil {
		return err
	}
	for _, w := range d.rules.GetWorkspaces() {
		key, err := d.command("keys", "issue", "--id", w.GetName()+"-1", "--workspace", w.GetName())
		if err != nil {
			return err
		}
		d.keys[w.GetName()] = strings.TrimSpace(key)
	}
	return nil
}

// command runs the product's command line.
func (d *deployment) command(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(d.binaries, "bulrushferry"), args...)
	var addresses []string
	token := ""
	for _, name := range d.names {
		addresses = append(addresses, d.entries[name].GetOperatorAddress())
		token = d.entries[name].GetOperatorToken()
	}
	cmd.Env = append(os.Environ(), "BULRUSHFERRY_ENTRIES="+strings.Join(addresses, ","), "BULRUSHFERRY_OPERATOR_TOKEN="+token)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, errs.String())
	}
	return out.String(), nil
}

func (d *deployment) stop() {
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
	for _, cmd := range d.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (d *deployment) kill(name string) {
	_ = d.procs[name].Process.Kill()
	_ = d.procs[name].Wait()
	delete(d.procs, name)
}

// terminate stops a process gracefully and waits for its end.
func (d *deployment) terminate(name string) error {
	cmd := d.procs[name]
	delete(d.procs, name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return cmd.Wait()
}

func (d *deployment) fault(request *wire.FaultRequest) error {
	raw, err := protojson.Marshal(request)
	if err != nil {
		return err
	}
	_, err = d.platform("/fault", raw)
	return err
}

func (d *deployment) report() (*wire.StandinReport, error) {
	raw, err := d.platform("/report", nil)
	if err != nil {
		return nil, err
	}
	report := &wire.StandinReport{}
	return report, protojson.Unmarshal(raw, report)
}

func (d *deployment) platform(path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + d.plan.GetPlatformAddress() + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	err := fasthttp.DoTimeout(req, resp, faultTimeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// The connection was left over from a stand-in that has ended.
		err = fasthttp.DoTimeout(req, resp, faultTimeout)
	}
	if err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("%s answered %d: %s", path, resp.StatusCode(), resp.Body())
	}
	return resp.Body(), nil
}

// loadConfig is a load of all workspaces at a share of their rates.
func (d *deployment) loadConfig(share float64, duration time.Duration, seed uint64) load.Config {
	config := load.NewConfig(d.rules, d.keys, share)
	config.Duration, config.Seed, config.ResendShare = duration, seed, 0.1
	for _, name := range d.names {
		config.BootstrapAddresses = append(config.BootstrapAddresses, d.entries[name].GetCallerAddress())
	}
	for i, region := range d.plan.GetRegions() {
		source := strings.Replace(region.GetEntryPrefix(), fmt.Sprintf(".%d.", 11+i), fmt.Sprintf(".%d.", 31+i), 1) + "1"
		config.Regions = append(config.Regions, load.Region{Name: region.GetName(), SourceIP: source})
	}
	return config
}
