package envoyconf

import (
	"encoding/json"
	"errors"
	"fmt"

	bootstrapv3 "github.com/envoyproxy/go-control-plane/envoy/config/bootstrap/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/bootstrap/internal_listener/v3" // in examples
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/upstream_codec/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/random/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/internal_upstream/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/raw_buffer/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoregistry"
	"sigs.k8s.io/yaml"
)

// maxText bounds a file.
const maxText = 4 << 20

// maxDepth bounds how deep a file nests.
const maxDepth = 200

// Parse reads a bootstrap, strictly: a field that is in no message and a value against the published rules are
// errors. Extensions that this package does not know are left out, since what they do is not known either.
func Parse(text []byte) (*bootstrapv3.Bootstrap, error) {
	if len(text) > maxText {
		return nil, fmt.Errorf("%d bytes, over %d", len(text), maxText)
	}
	body, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		return nil, err
	}
	var tree any
	if err := json.Unmarshal(body, &tree); err != nil {
		return nil, err
	}
	if _, is := tree.(map[string]any); !is {
		return nil, errors.New("not a mapping of keys to values")
	}
	if err := blank(tree, 0); err != nil {
		return nil, err
	}
	if body, err = json.Marshal(tree); err != nil {
		return nil, err
	}
	b := &bootstrapv3.Bootstrap{}
	if err := protojson.Unmarshal(body, b); err != nil {
		return nil, err
	}
	if err := b.ValidateAll(); err != nil {
		return nil, err
	}
	return b, nil
}

// blank empties extensions of types that are not linked: protojson could not read them.
func blank(v any, depth int) error {
	if depth > maxDepth {
		return errors.New("nested too deep")
	}
	switch v := v.(type) {
	case []any:
		for _, x := range v {
			if err := blank(x, depth+1); err != nil {
				return err
			}
		}
	case map[string]any:
		if url, is := v["@type"].(string); is {
			if _, err := protoregistry.GlobalTypes.FindMessageByURL(url); err != nil {
				clear(v)
				v["@type"] = "type.googleapis.com/google.protobuf.Empty"
				return nil
			}
		}
		for _, x := range v {
			if err := blank(x, depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}
