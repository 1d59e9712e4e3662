package router

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// TestNotReadyBeforeMembersAreKnown guards against a router that uses the request slots of
// each upstream all by itself because it does not yet know the other routers: whatever its
// configuration, it must not be ready before it has read the member table or received a
// message.
func TestNotReadyBeforeMembersAreKnown(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := timekeeper.NewManual(time.Unix(0, 0))
	r := New(Config{Settings: loader.DefaultRouter(), Store: keeper.New(clock), Clock: clock, Log: log, Incarnation: 1})
	defer r.cancelBackground()
	steps := []struct {
		name   string
		do     func()
		want   bool
		reason string
	}{
		{"started", func() {}, false, string(configurer.NoConfiguration)},
		{"configured", func() { r.updateConfigReadiness(configurer.ReadyChange{Ready: true}) }, false, "no-members"},
		{"members known", r.setMembersKnown, true, ""},
		{"cut off", func() { r.updateConfigReadiness(configurer.ReadyChange{Reason: configurer.CutOff}) }, false, string(configurer.CutOff)},
	}
	for _, s := range steps {
		s.do()
		if got, reason := r.Ready(); got != s.want || reason != s.reason {
			t.Errorf("%s: ready %v, reason %q; want %v, %q", s.name, got, reason, s.want, s.reason)
		}
	}
}
