package node

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"mintdoor/internal/settings"
)

// Environment variables through which the platform configures a router.
const (
	EnvConfig    = "PROXY_CONFIG"
	EnvName      = "PROXY_NAME"
	EnvListen    = "PROXY_LISTEN"
	EnvDiscovery = "PROXY_DISCOVERY"
)

// Config is the configuration of a router on the platform.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       uint64
	MemoryMB   float64
	Sockets    int
	CachedList []byte // the last server list of this router, in discovery's format; it may be truncated or empty
	Settings   *settings.Deployment
}

// file is the format of the configuration file.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Defaults for limits that the file doesn't set, and the smallest values that are accepted. Memory is in MB.
const (
	defaultMemoryMB, minMemoryMB = 192, 24
	defaultSockets, minSockets   = 1024, 256
	maxConfigSize                = 16 << 20
)

// Load reads the configuration from the file that the environment names. Name, listen address and discovery address
// come from environment variables if the file doesn't set them.
func Load(env func(string) string) (*Config, error) {
	path := env(EnvConfig)
	if path == "" {
		return nil, fmt.Errorf("environment variable %s is not set", EnvConfig)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvConfig, err)
	}
	if info.Size() > maxConfigSize {
		return nil, fmt.Errorf("%s: %s has %d bytes, which exceeds the limit", EnvConfig, path, info.Size())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvConfig, err)
	}
	c, err := parse(data, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// parse parses a configuration file and takes what it doesn't set from the environment.
func parse(data []byte, env func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, CachedList: f.Known,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets}
	for _, v := range []struct {
		into     *string
		key, env string
	}{{&c.Name, "name", EnvName}, {&c.Listen, "listen", EnvListen}, {&c.Discovery, "discovery", EnvDiscovery}} {
		if *v.into == "" {
			*v.into = env(v.env)
		}
		if *v.into == "" {
			return nil, fmt.Errorf("%s is missing, and environment variable %s is not set", v.key, v.env)
		}
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed has the malformed value %.40q", f.Seed)
		}
		c.Seed = seed
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if !(c.MemoryMB >= minMemoryMB) {
		return nil, fmt.Errorf("limits.memory_mb: %g is less than %d", c.MemoryMB, minMemoryMB)
	}
	if c.Sockets < minSockets {
		return nil, fmt.Errorf("limits.sockets: %d is less than %d", c.Sockets, minSockets)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings is missing")
	}
	var err error
	if c.Settings, err = settings.ParseJSON(f.Settings); err != nil {
		return nil, err
	}
	if len(c.Settings.Kinds) == 0 {
		return nil, fmt.Errorf("settings: hostTypes is missing")
	}
	return c, nil
}
