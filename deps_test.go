package wisteriawharf_test

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/labstack/echo/v4"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
