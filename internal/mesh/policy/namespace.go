package policy

import "cranegrade/internal/mesh/validation"

// MeshNamespace is the namespace of the mesh's operator, which owns everything that no other namespace owns.
const MeshNamespace = "mesh"

// maxNesting is the maximum depth of nested namespaces.
const maxNesting = 8

// Namespace is the services, hosts and path prefixes that a team owns. Only the mesh's operator may change it. It is stored as a
// configuration item with the same field names.
type Namespace struct {
	Name          string   `json:"Name" validate:"required,max=128"`
	ConfigVersion int64    `json:"ConfigVersion"`
	Owners        []string `json:"Owners" validate:"min=1,max=64,dive,required,max=128"` // who may set its policies and routes
	// Within is the namespace that this one is nested in: it has delegated a part of what it owns, and its policies apply here too. It is
	// empty if there is none.
	Within   string       `json:"Within,omitempty" validate:"max=128"`
	Services []string     `json:"Services,omitempty" validate:"max=1024,dive,required,max=512"`
	Hosts    []string     `json:"Hosts,omitempty" validate:"max=1024,dive,required,max=512"`
	Prefixes []HostPrefix `json:"Prefixes,omitempty" validate:"max=1024,dive"`
}

// HostPrefix is a path prefix of a host. A route belongs to the owner of the longest one that is a prefix of the route's own prefix.
type HostPrefix struct {
	Host       string `json:"Host" validate:"required,max=512"`
	PathPrefix string `json:"PathPrefix" validate:"startswith=/,endswith=/,max=4096"`
}

// Validate returns the first fault of a namespace, without regard to other items, or nil if there is none.
func (n Namespace) Validate() *validation.Fault {
	fault := validation.Check(n)
	switch {
	case fault != nil:
		return fault
	case n.Within == n.Name:
		return &validation.Fault{Field: "Within", Text: "is the namespace itself"}
	case n.Name == MeshNamespace && len(n.Services)+len(n.Hosts)+len(n.Prefixes) > 0:
		return &validation.Fault{Field: "Services", Text: "the mesh's own namespace owns whatever nobody else does, and names nothing"}
	}
	return nil
}
