package settings_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"parsleyramp/internal/control"
	"parsleyramp/internal/settings"
)

func TestSecretsAreNotPrinted(t *testing.T) {
	cfg := control.DefaultSettings()
	cfg.TeamTokens = map[string]settings.Secret{"desk": "hush-4711"}
	asJSON, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{fmt.Sprint(cfg), fmt.Sprintf("%+v", cfg), fmt.Sprintf("%#v", cfg), string(asJSON)} {
		if strings.Contains(text, "hush") {
			t.Errorf("the token is not redacted in %s", text)
		}
	}
	if cfg.TeamTokens["desk"].Reveal() != "hush-4711" {
		t.Error("Reveal does not return the token")
	}
}
