package main

// recordsConfig is a configuration with one service, whose requests are safe on one route and must
// not run twice on the other. The figures are those of tvwpa-damwatch.
func recordsConfig(version int) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "pupu76.example", "prefix": prefix, "kind": kind, "timeout_ms": 2500,
			"target_latency_ms": 250, "priority": 2, "service": "records", "max_attempts": 2,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("record", "/record/", "safe"), route("order", "/order/", "unsafe")},
		"services": []any{map[string]any{
			"name": "records", "health_check_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
