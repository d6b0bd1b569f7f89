package node

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"mintdoor/internal/settings"
)

// Environment variables by which the platform tells a router of itself.
const (
	EnvConfig    = "PROXY_CONFIG"
	EnvName      = "PROXY_NAME"
	EnvListen    = "PROXY_LISTEN"
	EnvDiscovery = "PROXY_DISCOVERY"
)

// Config is what a router is told.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       uint64
	MemoryMB   float64
	Sockets    int
	CachedList []byte // the list as this router last held it, in discovery's form; it may be torn or empty
	Settings   *settings.Deployment
}

// file is the configuration file's form.
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

// The limits hold when the file names none, and no less than the least is believed.
const (
	defaultMemory, leastMemory   = 192, 24
	defaultSockets, leastSockets = 1024, 256
	maxConfig                    = 16 << 20
)

// Load reads the configuration that the environment names. What the file does not say, the variables do.
func Load(env func(string) string) (*Config, error) {
	path := env(EnvConfig)
	if path == "" {
		return nil, fmt.Errorf("the variable %s is not set", EnvConfig)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvConfig, err)
	}
	if info.Size() > maxConfig {
		return nil, fmt.Errorf("%s: %s has %d bytes", EnvConfig, path, info.Size())
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
			return nil, fmt.Errorf("%s is missing, and the variable %s is not set", v.key, v.env)
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
		c.MemoryMB = defaultMemory
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if !(c.MemoryMB >= leastMemory) {
		return nil, fmt.Errorf("limits.memory_mb: %g is under %d", c.MemoryMB, leastMemory)
	}
	if c.Sockets < leastSockets {
		return nil, fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, leastSockets)
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
