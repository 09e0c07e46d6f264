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
	onWatching func()
}

// watch reads the settings file again at SIGHUP and whenever its content has
// changed, until ctx ends. A file that cannot be used leaves the old settings
// in force. text is the content that the program started with.
func (r Reloader) watch(ctx context.Context, path string, content []byte, log *logrus.Entry) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	if r.onWatching != nil {
		r.onWatching()
	}
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signaled = true
		case <-tick.C:
		}
		current, err := os.ReadFile(path)
		if err != nil {
			log.WithError(err).Warn("settings not read; the old ones stay in force")
			continue
		}
		if !signaled && bytes.Equal(current, content) {
			continue
		}
		content = current
		r.reload(path, content, log)
	}
}

func (r Reloader) reload(path string, content []byte, log *logrus.Entry) {
	if r.Defaults == nil {
		log.Info("settings changed; this program takes over none while it runs")
		return
	}
	value := r.Defaults()
	if err := settings.Parse(path, content, value); err != nil {
		log.WithError(err).Warn("settings not usable; the old ones stay in force")
		return
	}
	r.Apply(value)
	log.Info("settings reloaded")
}
