package forward

// Feature is something that all nodes have to do alike and that an older version does not know. A
// node names its features in its entry in the list of nodes.
type Feature uint8

const (
	// FeatureQuota means that a node can admit requests of accounts with a quota.
	FeatureQuota Feature = 1 << iota
	// FeatureExclusion means that a node that runs a range sends nothing to replicas in
	// evacuated data centres or outside the home regions of the request.
	FeatureExclusion
	// FeatureMergeRule means that a node merges the records of a range by the rule that the
	// dividing node names, not by that of its own configuration.
	FeatureMergeRule
)

// lacks reports whether a node does not know a feature.
func (p Peer) lacks(f Feature) bool { return p.Missing&f != 0 }
