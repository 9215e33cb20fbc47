package sassafrastray

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gaissmai/bart"
	_ "github.com/goccy/go-yaml"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/valyala/fasthttp"
	_ "github.com/valyala/fasthttp/fasthttpadaptor"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sys/unix"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
