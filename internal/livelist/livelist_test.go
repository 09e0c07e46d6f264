package livelist

import "testing"

func TestOneOddElementHidesNoOtherVM(t *testing.T) {
	const sound = `{"id":"a","kind":"engine","address":"10.0.0.1:80","domain":"d","state":"live"}`
	for _, odd := range []string{"\xff\x00", `{"id":1}`, `{"id":"b`, `{"id":"b","kind":"engine","address":"10.0.0.1:99999","state":"live"}`, "[[["} {
		for _, text := range []string{"[" + odd + "," + sound + "]", "[" + sound + "," + odd + "]"} {
			if vms, err := decode([]byte(text)); err != nil || len(vms) != 1 || vms[0].ID != "a" {
				t.Errorf("%q: %+v, %v, want the VM a", text, vms, err)
			}
		}
	}
	if _, err := decode([]byte(`[` + sound)); err == nil {
		t.Error("a list without its end was read")
	}
}
