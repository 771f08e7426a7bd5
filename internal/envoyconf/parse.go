package envoyconf

import (
	"encoding/json"
	"errors"
	"fmt"

	bootstrapv3 "github.com/envoyproxy/go-control-plane/envoy/config/bootstrap/v3"
	// The extensions that the examples use: protojson can only read message types that are linked.
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/bootstrap/internal_listener/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/upstream_codec/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/random/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/internal_upstream/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/raw_buffer/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoregistry"
	"sigs.k8s.io/yaml"
)

const (
	maxFileBytes = 4 << 20
	maxDepth     = 200 // of nested lists and mappings
)

// emptyMessageURL is the type of a message without fields, which replaces unknown extensions.
const emptyMessageURL = "type.googleapis.com/google.protobuf.Empty"

// Parse reads a bootstrap as strictly as Envoy does: unknown fields, and values that violate the published validation
// rules, are errors. Extensions of types that are not linked into this program are left out, since their effect is not
// known either.
func Parse(text []byte) (*bootstrapv3.Bootstrap, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%d bytes, over %d", len(text), maxFileBytes)
	}
	body, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		return nil, err
	}
	var tree any
	if err := json.Unmarshal(body, &tree); err != nil {
		return nil, err
	}
	if _, ok := tree.(map[string]any); !ok {
		return nil, errors.New("not a mapping of keys to values")
	}
	if err := clearUnknownExtensions(tree, 0); err != nil {
		return nil, err
	}
	if body, err = json.Marshal(tree); err != nil {
		return nil, err
	}
	bootstrap := &bootstrapv3.Bootstrap{}
	if err := protojson.Unmarshal(body, bootstrap); err != nil {
		return nil, err
	}
	if err := bootstrap.ValidateAll(); err != nil {
		return nil, err
	}
	return bootstrap, nil
}

// clearUnknownExtensions replaces extensions of types that are not linked by empty messages, in place.
func clearUnknownExtensions(node any, depth int) error {
	if depth > maxDepth {
		return errors.New("nested too deep")
	}
	switch node := node.(type) {
	case []any:
		for _, element := range node {
			if err := clearUnknownExtensions(element, depth+1); err != nil {
				return err
			}
		}
	case map[string]any:
		if url, ok := node["@type"].(string); ok {
			if _, err := protoregistry.GlobalTypes.FindMessageByURL(url); err != nil {
				clear(node)
				node["@type"] = emptyMessageURL
				return nil
			}
		}
		for _, value := range node {
			if err := clearUnknownExtensions(value, depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}
