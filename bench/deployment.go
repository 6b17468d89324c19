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

	"github.com/bulrushferry/bulrushferry/http1"
	"github.com/bulrushferry/bulrushferry/load"
	"github.com/bulrushferry/bulrushferry/rules"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
)

// standinClient calls the standin program.
var standinClient = http1.GuardClient(&fasthttp.Client{})

// deployment is a set of processes: the standin program and the entry instances.
type deployment struct {
	// dir holds the files of the deployment, binDir the programs.
	dir    string
	binDir string
	// instances lists the names of the entry instances in alphabetical order.
	instances []string
	// settings holds the settings of each entry instance.
	settings map[string]*wire.EntrySettings
	// standin describes the platform and the backend servers.
	standin *wire.Deployment
	rules   *wire.Rules
	// keys holds the API key of each workspace.
	keys map[string]string
	// processes holds the running processes by instance, or "standin".
	processes map[string]*exec.Cmd
	// listeners holds those of the baseline balancers, which run in this process.
	listeners []net.Listener
}

const (
	readyTimeout = 30 * time.Second
	// propagationTime is the time given to new rules and keys to reach all
	// instances.
	propagationTime = 6 * time.Second
	standinTimeout  = 5 * time.Second
)

// startDeployment starts all processes, applies the rules, issues the keys and returns
// after propagationTime.
func startDeployment(dir, binDir string) (*deployment, error) {
	d := &deployment{
		dir: dir, binDir: binDir,
		settings:  make(map[string]*wire.EntrySettings),
		keys:      make(map[string]string),
		processes: make(map[string]*exec.Cmd),
	}
	if err := d.readFiles(); err != nil {
		return nil, err
	}
	if err := d.startProcesses(); err != nil {
		d.stop()
		return nil, err
	}
	if err := d.configure(); err != nil {
		d.stop()
		return nil, err
	}
	time.Sleep(propagationTime)
	return d, nil
}

// readFiles reads the deployment's description, rules and settings.
func (d *deployment) readFiles() error {
	raw, err := os.ReadFile(filepath.Join(d.dir, "deployment.json"))
	if err != nil {
		return err
	}
	d.standin = &wire.Deployment{}
	if err := protojson.Unmarshal(raw, d.standin); err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(d.dir, "rules.txt"))
	if err != nil {
		return err
	}
	parsed, faults := rules.Parse(text)
	if len(faults) > 0 {
		return faults
	}
	d.rules = parsed
	files, err := filepath.Glob(filepath.Join(d.dir, "entries", "*.json"))
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
		d.settings[s.GetInstance()] = s
		d.instances = append(d.instances, s.GetInstance())
	}
	sort.Strings(d.instances)
	return nil
}

// startProcesses creates the certificates, starts all processes and waits until
// they are ready.
func (d *deployment) startProcesses() error {
	certs, err := os.ReadFile(filepath.Join(d.dir, "certs.txt"))
	if err != nil {
		return err
	}
	args := append([]string{"certs", "--out", filepath.Join(d.dir, "certs")}, strings.Fields(string(certs))...)
	if out, err := exec.Command(filepath.Join(d.binDir, "standin"), args...).CombinedOutput(); err != nil {
		return fmt.Errorf("making certificates: %w: %s", err, out)
	}
	if err := d.startProcess("standin", "standin", "serve", "--deployment", filepath.Join(d.dir, "deployment.json")); err != nil {
		return err
	}
	for _, name := range d.instances {
		if err := d.startInstance(name); err != nil {
			return err
		}
	}
	return d.waitReady()
}

func (d *deployment) startInstance(name string) error {
	return d.startProcess(name, "bulrushferry", "entry", "--settings", filepath.Join(d.dir, "entries", name+".json"))
}

// startProcess starts a program whose output goes to a file in the temporary
// directory. It is killed when bench exits.
func (d *deployment) startProcess(name, program string, args ...string) error {
	log, err := os.Create(filepath.Join(os.TempDir(), "bulrushferry-"+name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(d.binDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.processes[name] = cmd
	return cmd.Start()
}

// waitReady waits until every instance holds slots and has authority.
func (d *deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		out, _ := d.runCommand("status", "--json", "--timeout", "500ms")
		ready := 0
		for _, line := range strings.Split(out, "\n") {
			s := &wire.Status{}
			if protojson.Unmarshal([]byte(line), s) == nil && s.GetSlotsHeld() > 0 && s.GetAuthority() {
				ready++
			}
		}
		if ready == len(d.instances) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all of %d instances held slots and had authority within %s", len(d.instances), readyTimeout)
}

// configure applies the rules and issues a key to each workspace.
func (d *deployment) configure() error {
	if _, err := d.runCommand("rules", "apply", "--who", "bench", filepath.Join(d.dir, "rules.txt")); err != nil {
		return err
	}
	for _, w := range d.rules.GetWorkspaces() {
		key, err := d.runCommand("keys", "issue", "--id", w.GetName()+"-1", "--workspace", w.GetName())
		if err != nil {
			return err
		}
		d.keys[w.GetName()] = strings.TrimSpace(key)
	}
	return nil
}

// runCommand runs an operator command and returns its standard output.
func (d *deployment) runCommand(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(d.binDir, "bulrushferry"), args...)
	var addresses []string
	token := ""
	for _, name := range d.instances {
		addresses = append(addresses, d.settings[name].GetOperatorAddress())
		token = d.settings[name].GetOperatorToken()
	}
	cmd.Env = append(os.Environ(), "BULRUSHFERRY_ENTRIES="+strings.Join(addresses, ","), "BULRUSHFERRY_OPERATOR_TOKEN="+token)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, errs.String())
	}
	return out.String(), nil
}

// stop kills all processes and closes the listeners of baseline balancers.
func (d *deployment) stop() {
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
	for _, cmd := range d.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (d *deployment) kill(name string) {
	_ = d.processes[name].Process.Kill()
	_ = d.processes[name].Wait()
	delete(d.processes, name)
}

// terminate stops a process gracefully and waits until it exits.
func (d *deployment) terminate(name string) error {
	cmd := d.processes[name]
	delete(d.processes, name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return cmd.Wait()
}

// setFault starts or ends faults that the standin program simulates.
func (d *deployment) setFault(request *wire.FaultRequest) error {
	raw, err := protojson.Marshal(request)
	if err != nil {
		return err
	}
	_, err = d.callStandin("/fault", raw)
	return err
}

// standinReport returns what the standin program has observed.
func (d *deployment) standinReport() (*wire.StandinReport, error) {
	raw, err := d.callStandin("/report", nil)
	if err != nil {
		return nil, err
	}
	report := &wire.StandinReport{}
	return report, protojson.Unmarshal(raw, report)
}

// callStandin sends a request to the standin program and returns the response's body.
func (d *deployment) callStandin(path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + d.standin.GetPlatformAddress() + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	err := standinClient.DoTimeout(req, resp, standinTimeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// The pooled connection belonged to a standin process that has exited.
		err = standinClient.DoTimeout(req, resp, standinTimeout)
	}
	if err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("%s answered %d: %s", path, resp.StatusCode(), resp.Body())
	}
	return resp.Body(), nil
}

// newLoadConfig returns a load of all workspaces at a share of their rate limits. The
// callers of the region with index i, whose instances are in 127.0.(11+i).0/24, send
// from 127.0.(31+i).1, so that address blocks in the rules can assign them to it.
func (d *deployment) newLoadConfig(share float64, duration time.Duration, seed uint64) load.Config {
	config := load.NewConfig(d.rules, d.keys, share)
	config.Duration, config.Seed, config.ResendShare = duration, seed, 0.1
	for _, name := range d.instances {
		config.BootstrapAddresses = append(config.BootstrapAddresses, d.settings[name].GetCallerAddress())
	}
	for i, region := range d.standin.GetRegions() {
		source := strings.Replace(region.GetEntryPrefix(), fmt.Sprintf(".%d.", 11+i), fmt.Sprintf(".%d.", 31+i), 1) + "1"
		config.Regions = append(config.Regions, load.Region{Name: region.GetName(), SourceIP: source})
	}
	return config
}
