package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/baobabsail/baobabsail/platform/standin"
)

// commandPlatformNode implements "platform-node CONFIG": it starts the store of the users' platform
// with the configuration in the file, replicas a and b of the service s in dc-a and dc-b, and a node
// in dc-a whose metrics listener is in the variable node_metrics. The evacuations named by further
// arguments are in force.
func commandPlatformNode(ts *testscript.TestScript, neg bool, args []string) {
	store := standin.NewStore()
	ts.Defer(store.Close)
	store.PutConfiguration([]byte(ts.ReadFile(args[0])))
	for _, dc := range args[1:] {
		store.Evacuate(dc)
	}
	for _, id := range []string{"a", "b"} {
		r := standin.NewReplica(id, "s")
		ts.Defer(r.Close)
		r.DataCentre = "dc-" + id
		r.Register(store, "ready", 1)
	}
	// The port of the metrics is fixed, so each node has its own loopback address.
	ip := fmt.Sprintf("127.%d.%d.%d", 120+rand.IntN(60), rand.IntN(250), 1+rand.IntN(250))
	work := ts.Getenv("WORK")
	settings := filepath.Join(work, "node.conf")
	ts.Check(os.WriteFile(settings, []byte(strings.Join([]string{
		"node_name=n1", "zone=dc-a", "ip_address=" + ip, "listen_addresses.frontend=" + ip + ":18104",
		"listen_addresses.readiness=" + ip + ":18108", "internal_port_range=17380,17395", "platform.address=" + store.Address(),
		"platform.writes_per_s=400", "bounds.grace_period_s=3", "bounds.config_apply_ms=600", "bounds.stability_window_ms=1600",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_budget_slack=50", "limits.memory_mb=284",
		"first_start=true", "",
	}, "\n")), 0o600))
	p, err := launchWithEnv([]string{"BAOBABSAIL_BOOT=" + settings}, work, filepath.Join(work, "node.log"), "baobabd", "platform")
	ts.Check(err)
	ts.Defer(p.kill)
	ts.Setenv("node_metrics", ip+":9464")
	ts.Value(processesKey).(map[string]*process)["node"] = p
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
		response, err := http.Get("http://" + ip + ":18108/baobabsail/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			ts.Fatalf("the node is not ready: %v, %+v", err, response)
		}
	}
}
