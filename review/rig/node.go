package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// node is a process of the tier, started with the command of the deploy file.
type node struct {
	name    string
	callers string // address for clients
	ready   string // address for readiness checks
	process *exec.Cmd
	exited  chan struct{}
}

// startNode starts `target/baobabd platform` with the settings of a machine of the small
// deployments (SYSTEM.md) and waits until it reports itself ready. Its log goes to a file in dir.
func startNode(dir, name, ip, storeAddress string) *node {
	n := &node{name: name, callers: ip + ":" + freePort(ip), ready: ip + ":" + freePort(ip), exited: make(chan struct{})}
	lines := []string{
		"node_name=" + name, "role=entry", "machine_class=frontend", "serves=frontend", "ip_address=" + ip,
		"zone=hall-north", "region=black-belt", "zones.hall-north=black-belt",
		"listen_addresses.frontend=" + n.callers, "listen_addresses.readiness=" + n.ready,
		"internal_port_range=" + freePort(ip) + "," + freePort(ip), "first_start=true", "counted_for_tolerance=true",
		"limits.cpu_share=0.4", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.fd_limit=4100",
		"limits.link_bandwidth_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=virtual_ip",
		"heartbeat_interval_ms=1200", "contracts=base,drain,config,cost,retry,recover,scatter,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.stability_window_ms=4000", "bounds.ack_timeout_ms=5000",
		"bounds.catch_up_s=4", "bounds.drain_timeout_ms=3000", "bounds.grace_period_s=6", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=3000", "bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=12000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_budget_slack=52", "bounds.recovery_s=12",
		"platform.address=" + storeAddress, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	settings := filepath.Join(dir, name+".conf")
	must(os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
	log, err := os.Create(filepath.Join(dir, name+".log"))
	must(err)
	n.process = exec.Command(filepath.Join(root(), "target", "baobabd"), "platform")
	n.process.Dir = root()
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABSAIL_BOOT=" + settings}
	n.process.Stdout, n.process.Stderr = log, log
	must(n.process.Start())
	onExit(func() { _ = n.process.Process.Kill(); <-n.exited })
	go func() { _ = n.process.Wait(); close(n.exited) }()
	for range 300 {
		if n.isReady() {
			return n
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("%s is not ready after 15 s, see %s", name, log.Name())
	return nil
}

// isReady asks the readiness address as the platform does once a second.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + n.ready + "/baobabsail/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (n *node) signal(s os.Signal) { must(n.process.Process.Signal(s)) }

// freePort returns a port that is free on a loopback address.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return fmt.Sprint(l.Addr().(*net.TCPAddr).Port)
}
