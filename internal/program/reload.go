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

// reloadInterval is the interval at which the settings file is polled for
// changes that no SIGHUP announces.
const reloadInterval = 2 * time.Second

// Reloader applies settings that change while the program runs.
type Reloader struct {
	// Defaults returns a new settings value with the defaults. The zero Reloader
	// has none and reloads nothing.
	Defaults func() settings.Checked
	// Apply applies valid settings. Those that cannot change at run time are
	// ignored.
	Apply func(settings.Checked)
	// onWatching is called once signals are being caught; nil outside of tests.
	onWatching func()
}

// watch reloads the settings file on SIGHUP and whenever its content has
// changed, until ctx ends. If the file is unreadable or invalid, the previous
// settings remain active. content is the file as read at the program's start.
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
			log.WithError(err).Warn("cannot read the settings file; the previous settings remain active")
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
		log.Info("settings not reloaded: this program applies them only at start")
		return
	}
	value := r.Defaults()
	if err := settings.Parse(path, content, value); err != nil {
		log.WithError(err).Warn("invalid settings; the previous settings remain active")
		return
	}
	r.Apply(value)
	log.Info("settings reloaded")
}
