package settings_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/settings"
)

const validSettings = `{"host":"h1","region":"r","zone":"z","environment":"trial","peer":"127.0.0.1:1","control":"127.0.0.1:2",
"caller":"127.0.0.1:3","store":"127.0.0.1:4","log":{"level":"info"},"seed":1}`

func TestValidSettingsAreParsed(t *testing.T) {
	d, err := settings.Parse([]byte(validSettings))
	must.NoError(t, err)
	must.Eq(t, "127.0.0.1:3", d.CallerAddress)
}

// Each error is a single line that names the field.
func TestInvalidSettingsNameTheField(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"unknown field", `"seed"`, `"sead"`, `unknown field "sead"`},
		{"wrong type", `"seed":1`, `"seed":"x"`, "seed"},
		{"name instead of IP", `127.0.0.1:4`, `store.example:4`, "store"},
		{"port 0", `127.0.0.1:3`, `127.0.0.1:0`, "caller"},
		{"empty host", `"h1"`, `""`, "host"},
		{"peer without a port", `"seed":1`, `"peers":["127.0.0.1:5","127.0.0.1"]`, "peers[1]"},
		{"advertised peer without a port", `"seed":1`, `"advertised_peer":"127.0.0.1"`, "advertised_peer"},
		{"a link below nothing", `"seed":1`, `"host_link_mbps":-1`, "host_link_mbps"},
		{"descriptors below nothing", `"seed":1`, `"max_descriptors":-1`, "max_descriptors"},
		{"memory below nothing", `"seed":1`, `"memory_mb":-1`, "memory_mb"},
		{"evacuation without time to hand over", `"seed":1`, `"evacuation":{"within":"2900ms"}`, "evacuation.within"},
		{"evacuation in the past", `"seed":1`, `"evacuation":{"within":"-5s"}`, "evacuation.within"},
		{"a stop in the past", `"seed":1`, `"stop":{"within":"-1s"}`, "stop.within"},
		{"a listener that closes too early", `"seed":1`, `"stop":{"notice":"3s","listen_for":"2s"}`, "stop.listen_for"},
		{"profiles for other hosts", `"seed":1`, `"debug_address":"192.0.2.1:6060"`, "debug_address"},
		{"trailing text", `"seed":1}`, `"seed":1} {}`, "one document"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			must.ErrorContains(t, err, c.want)
			must.StrNotContains(t, err.Error(), "\n")
		})
	}
}
