package main

// manifest returns a manifest with one route and one service.
func manifest(version int, route map[string]any, maxBodyBytes int, services ...string) map[string]any {
	var all []map[string]any
	for _, name := range services {
		all = append(all, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 45, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	return map[string]any{
		"version": version, "routes": []any{route}, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
