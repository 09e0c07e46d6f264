package program

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/settings"
)

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// Reloader takes over settings that change while the program runs.
type Reloader struct {
	// Defaults returns a settings value with the defaults.
	Defaults func() settings.Checked
	// Apply takes over checked settings. What cannot change stays as it is.
	Apply func(settings.Checked)
	// watching is called once signals are caught; nil outside of tests.
	watching func()
}

// watch reads the settings file again at SIGHUP and whenever its content has
// changed, until ctx ends. A file that cannot be used leaves the old settings
// in force. text is the content that the program started with.
func (r Reloader) watch(ctx context.Context, path string, text []byte, log *logrus.Entry) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	if r.watching != nil {
		r.watching()
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			asked = true
		case <-tick.C:
		}
		next, err := os.ReadFile(path)
		if err != nil {
			log.WithError(err).Warn("settings not read; the old ones stay in force")
			continue
		}
		if !asked && bytes.Equal(next, text) {
			continue
		}
		text = next
		r.reload(path, text, log)
	}
}

func (r Reloader) reload(path string, text []byte, log *logrus.Entry) {
	if r.Defaults == nil {
		log.Info("settings changed; this program takes over none while it runs")
		return
	}
	value := r.Defaults()
	if err := settings.Parse(path, text, value); err != nil {
		log.WithError(err).Warn("settings not usable; the old ones stay in force")
		return
	}
	r.Apply(value)
	log.Info("settings reloaded")
}
