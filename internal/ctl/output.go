package ctl

import (
	"encoding/json"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
)

// printJSON writes a value as indented JSON.
func (t *tool) printJSON(v any) error {
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fail.Wrap(err, fail.Internal, "write JSON")
	}
	return nil
}

// printMessage writes a protobuf message as JSON with the field names of the
// .proto files.
func (t *tool) printMessage(m proto.Message) error {
	data, err := encodeMessage(m)
	if err != nil {
		return err
	}
	return t.printJSON(data)
}

func encodeMessage(m proto.Message) (json.RawMessage, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}.Marshal(m)
	if err != nil {
		return nil, fail.Wrap(err, fail.Internal, "encode JSON")
	}
	return data, nil
}

// nextSteps maps failure codes to what an operator can do about them.
var nextSteps = map[fail.Code]string{
	fail.BadDocument:    "correct the lines named above and run check",
	fail.Conflict:       "run get, merge your change into the latest text and apply again",
	fail.Unavailable:    "check that a majority of the control VMs is running and that -control lists them, then retry",
	fail.NotLeader:      "an election is in progress; retry in a few seconds",
	fail.Unauthorized:   "pass the team's token with -token-file or PARSLEYRAMP_TOKEN",
	fail.UnknownRequest: "run members to list what exists",
	fail.Overloaded:     "wait, then retry with the same order id",
	fail.BadSettings:    "run parsleyctl -help",
}

// jsonFailure is the JSON output of a failure.
type jsonFailure struct {
	Code     fail.Code `json:"code"`
	Message  string    `json:"message"`
	NextStep string    `json:"next_step,omitempty"`
	Exit     int       `json:"exit"`
}

func (t *tool) printFailure(w io.Writer, err error, exit int) {
	f := fail.From(err)
	if t.json {
		data, _ := json.Marshal(jsonFailure{f.Code, f.Error(), nextSteps[f.Code], exit})
		fmt.Fprintln(w, string(data))
		return
	}
	fmt.Fprintf(w, "parsleyctl: %v\n", err)
	if step := nextSteps[f.Code]; step != "" {
		fmt.Fprintf(w, "next: %s\n", step)
	}
}
