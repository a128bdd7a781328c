package heatherhub_test

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
)

func TestUnmarshalRejectsMalformedInput(t *testing.T) {
	good, err := msgpack.Marshal(heatherhub.Task{ID: "a"})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		data []byte
		want heatherhub.Code
	}{
		{"value", good, heatherhub.CodeOK},
		{"nil value", []byte{0xc0}, heatherhub.CodeInvalid},
		{"nil time", []byte{0x81, 0xa1, 'q', 0xc0}, heatherhub.CodeInvalid},
		{"trailing byte after nil", []byte{0xc0, 0x30}, heatherhub.CodeInvalid},
		{"trailing byte after value", append(bytes.Clone(good), 0x30), heatherhub.CodeInvalid},
		{"array length beyond the end", []byte{0x81, 0xa1, 'q', 0xdd, 0xff, 0xff, 0xff, 0xff}, heatherhub.CodeInvalid},
		{"string length beyond the end", []byte{0x81, 0xdb, 0xff, 0xff, 0xff, 0xff}, heatherhub.CodeInvalid},
		{"extension length beyond the end", []byte{0x81, 0xa1, 'q', 0xc9, 0xff, 0xff, 0xff, 0xff, 0xff}, heatherhub.CodeInvalid},
		{"deep nesting", bytes.Repeat([]byte{0x91}, 1_000_000), heatherhub.CodeInvalid},
		{"truncated", good[:len(good)-1], heatherhub.CodeInvalid},
		{"empty", nil, heatherhub.CodeInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var task heatherhub.Task
			if got := heatherhub.CodeOf(heatherhub.Unmarshal(c.data, &task)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
