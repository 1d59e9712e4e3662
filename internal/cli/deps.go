//go:build never

package cli

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/ansel1/merry/v2"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/lesismal/nbio/nbhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sirupsen/logrus"
	_ "github.com/tailscale/hujson"
	_ "github.com/ugorji/go/codec"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/plotutil"
	_ "gonum.org/v1/plot/vg/draw"
	_ "pgregory.net/rapid"
)
