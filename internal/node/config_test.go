package node

import (
	"strings"
	"testing"
	"time"

	"cranegrade/balancer"
)

// validConfig is a configuration as the platform writes it.
const validConfig = `{"name":"n3","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peers":["127.0.0.1:1"],
 "known":{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]},
 "settings":{"lanes":[{"name":"read","effect":"read_like","target-ms":100,"deadline-ms":400}],
  "limits":{"conn-idle-ms":30000,"connect-timeout-ms":200,"cancelling":true},"registry-mode":"on_request"}}`

// A valid configuration is read with the settings of its only pool.
func TestConfig(t *testing.T) {
	c, err := parseConfig([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || c.Known.Revision != 41 ||
		len(c.Known.Targets) != 1 || c.Connections.Idle != 30*time.Second || c.Connections.ConnectWithin != 200*time.Millisecond ||
		!c.Settings.AskDiscovery || c.Settings.Classes[0].Effect != balancer.Idempotent {
		t.Errorf("%+v", c)
	}
}

// An invalid configuration is an error of one line that names the field, or what is wrong with the text. Each case replaces
// the first text by the second.
func TestConfigErrorNamesTheField(t *testing.T) {
	for field, replace := range map[string][2]string{
		"listen":             {`"127.0.0.1:3000"`, `"here"`},
		"discovery":          {`"discovery"`, `"d"`},
		"seed":               {`8c1f30d27a5be964`, `seed`},
		"limits":             {`"sockets":1024`, `"sockets":-1`},
		"known":              {`"SERVING"`, `"SLEEPING"`},
		"settings":           {`"settings":`, `"s":`},
		"Deadline":           {`"deadline-ms":400`, `"deadline-ms":0`},
		"cannot":             {`"lanes":[`, `"lanes":7,"l":[`},
		"character":          {`{"name"`, `name`},
		"Classes is missing": {`"lanes":[{"name":"read","effect":"read_like","target-ms":100,"deadline-ms":400}],`, ``},
		"Classes[0].Name":    {`"name":"read",`, ``},
		"Classes[1].Name":    {`"lanes":[`, `"lanes":[{"name":"read","target-ms":1,"deadline-ms":2},`},
		"Classes[0].Aim":     {`"target-ms":100`, `"target-ms":1e300`},
		"LateShare":          {`"target-ms":100`, `"target-ms":100,"late-share":1.5`},
		"Worth":              {`"target-ms":100`, `"target-ms":100,"worth":-1`},
		"Balancers":          {`"lanes"`, `"balancers":-3,"lanes"`},
		"AskWithin":          {`"lanes"`, `"rules":{"ask-within-ms":-1},"lanes"`},
		"ColdFrom":           {`"lanes"`, `"rules":{"cold-from":2},"lanes"`},
		"twice":              {`{"uid":"s-1"`, `{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","state":"SERVING"},{"uid":"s-1"`},
		"limits.cores":       {`"cores":1.0`, `"cores":"one"`},
	} {
		t.Run(field, func(t *testing.T) {
			_, err := parseConfig([]byte(strings.Replace(validConfig, replace[0], replace[1], 1)))
			if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v", err)
			}
		})
	}
}
